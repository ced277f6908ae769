import type { Verdict } from '../verdict/Verdict.js'

/**
 * Distributions of one team or queue as the operators' port gives them. Histograms are in the
 * compressed base64 form of HdrHistogram, in tenths of a millisecond.
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
