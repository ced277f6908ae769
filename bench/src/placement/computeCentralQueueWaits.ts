import type { Milliseconds } from '@mastichead/core'
import type { SimulatedRequest } from './SimulatedRequest.js'

/**
 * Returns the waits that the same requests would have at one central queue, which learns of a free
 * slot after one network latency. Serves as the baseline.
 *
 * @param latency - one-way latency from the queue to a backend server
 *
 * @internal
 */
export function computeCentralQueueWaits(
	requests: readonly SimulatedRequest[],
	slots: number,
	latency: Milliseconds
): Milliseconds[] {
	const freeAt = new Array<number>(slots).fill(0)
	return requests.map((request) => {
		let earliest = 0
		for (let slot = 1; slot < slots; slot++) {
			if ((freeAt[slot] ?? 0) < (freeAt[earliest] ?? 0)) earliest = slot
		}
		const start = Math.max(request.at + latency, (freeAt[earliest] ?? 0) + 2 * latency)
		freeAt[earliest] = start + request.serviceTime
		return start - request.at
	})
}
