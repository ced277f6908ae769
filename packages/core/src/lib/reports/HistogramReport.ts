import type { HistogramRow } from './HistogramRow.js'

/**
 * Latency histograms of one daemon since it started, by team and by queue.
 *
 * @public
 */
export interface HistogramReport {
	readonly teams: readonly HistogramRow[]
	readonly queues: readonly HistogramRow[]
}
