import type { HistogramRow } from './HistogramRow.js'

/**
 * Every distribution of one daemon since it started.
 *
 * @public
 */
export interface HistogramReport {
	readonly teams: readonly HistogramRow[]
	readonly queues: readonly HistogramRow[]
}
