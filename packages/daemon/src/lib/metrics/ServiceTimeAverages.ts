import type { Milliseconds, QueueId } from '@mastichead/core'

/** Weight of the newest run in the mean. */
const NEWEST_WEIGHT = 0.05

/**
 * Mean service time of the latest requests of each queue, in bounded memory.
 *
 * @internal
 */
export class ServiceTimeAverages {
	private readonly means = new Map<QueueId, Milliseconds>()

	/** @param maximumQueues - queues beyond it are not measured */
	constructor(private readonly maximumQueues: number) {}

	record(queue: QueueId, service: Milliseconds): void {
		const mean = this.means.get(queue)
		if (mean === undefined && this.means.size >= this.maximumQueues) return
		this.means.set(queue, mean === undefined ? service : mean + (service - mean) * NEWEST_WEIGHT)
	}

	/** Undefined before the first run of a queue. */
	get(queue: QueueId): Milliseconds | undefined {
		return this.means.get(queue)
	}
}
