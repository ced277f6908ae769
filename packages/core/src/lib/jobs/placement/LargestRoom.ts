import type { BackendRow } from '../BackendRow.js'
import type { Resources } from '../Resources.js'

/**
 * The most of each resource that any server of a list has free, during one plan. A task that needs more
 * fits on none of them, which a full pool shows without a look at each server.
 *
 * @internal
 */
export class LargestRoom {
	private readonly rooms = new Map<readonly BackendRow[], Resources>()

	/** Forgets what is known, since servers have got or lost tasks. */
	clear(): void {
		this.rooms.clear()
	}

	/** Whether a task that reserves `needs` may fit on a server of the list. */
	mayFit(needs: Resources, backends: readonly BackendRow[]): boolean {
		const room = this.rooms.get(backends) ?? this.measure(backends)
		return needs.cpu <= room.cpu && needs.memory <= room.memory && needs.gpu <= room.gpu
	}

	private measure(backends: readonly BackendRow[]): Resources {
		const room = { cpu: -Infinity, memory: -Infinity, gpu: -Infinity }
		for (const { capacity, used, unexpected } of backends) {
			room.cpu = Math.max(room.cpu, capacity.cpu - used.cpu - unexpected.cpu)
			room.memory = Math.max(room.memory, capacity.memory - used.memory - unexpected.memory)
			room.gpu = Math.max(room.gpu, capacity.gpu - used.gpu - unexpected.gpu)
		}
		this.rooms.set(backends, room)
		return room
	}
}
