/**
 * Latency of the latest append that succeeded on any intake stream, including the read of what came before
 * its records.
 *
 * @internal
 */
export class AppendLatency {
	/** In milliseconds; 0 before the first append. */
	latest = 0
}
