import type { Verdict } from '../verdict/Verdict.js'

/**
 * Outcome counts and latency histograms of one team or queue, as the operators' port returns them.
 * Each histogram is a compressed HdrHistogram in base64; its unit is a tenth of a millisecond.
 *
 * @public
 */
export interface HistogramRow {
	readonly name: string
	readonly outcomes: Readonly<Record<Verdict, number>>
	readonly wait: string
	readonly service: string
	readonly total: string
}
