import type { IntakeStream } from '../ports/IntakeStream.js'

/** Streams that must fail without a success on any in between until the log counts as out of reach. */
const OUT_OF_REACH_STREAMS = 3

/**
 * What the appends of one instance to all intake streams show about the log.
 *
 * @internal
 */
export class LogReachability {
	/** Latency of the latest append that succeeded, in milliseconds; 0 before the first. */
	appendLatency = 0
	/** Number of batches that are being written. */
	batchesInFlight = 0
	/** Streams on which an append failed since the latest one that succeeded on any. */
	private readonly failedStreams = new Set<IntakeStream>()

	/** Whether no stream has taken an append for long enough to refuse those that have not been sent. */
	get isOutOfReach(): boolean {
		return this.failedStreams.size >= OUT_OF_REACH_STREAMS
	}

	recordSuccess(): void {
		this.failedStreams.clear()
	}

	recordFailure(stream: IntakeStream): void {
		this.failedStreams.add(stream)
	}
}
