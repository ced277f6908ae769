import type { Verdict } from '@mastichead/core'

/**
 * Percentiles of one latency distribution, in milliseconds.
 *
 * @internal
 */
interface Percentiles {
	readonly count: number
	readonly p50: number
	readonly p90: number
	readonly p99: number
	readonly maximum: number
}

/**
 * Outcomes and latencies of one team or queue, merged over daemons.
 *
 * @internal
 */
export interface MergedRow {
	readonly name: string
	/** Number of requests by verdict. */
	readonly outcomes: Readonly<Record<Verdict, number>>
	readonly wait: Percentiles
	readonly service: Percentiles
	readonly total: Percentiles
}
