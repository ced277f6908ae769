import type { Milliseconds } from '@mastichead/core'
import type { SimulatedRequest } from './SimulatedRequest.js'

/**
 * Waits of the same requests at one central queue that knows every slot at once.
 *
 * @param latency - one-way, from the queue to a backend server
 *
 * @internal
 */
export function getCentralWaits(
	requests: readonly SimulatedRequest[],
	slots: number,
	latency: Milliseconds
): Milliseconds[] {
	const freeAt = new Array<number>(slots).fill(0)
	return requests.map((request) => {
		let first = 0
		for (let slot = 1; slot < slots; slot++) {
			if ((freeAt[slot] ?? 0) < (freeAt[first] ?? 0)) first = slot
		}
		const start = Math.max(request.at + latency, (freeAt[first] ?? 0) + 2 * latency)
		freeAt[first] = start + request.service
		return start - request.at
	})
}
