/**
 * One measurement of the fold.
 *
 * @public
 */
export interface FoldBenchRow {
	readonly measure: string
	/** Backend servers of the fleet document. */
	readonly backendServers: number
	readonly pools: number
	readonly teams: number
	readonly value: number
	readonly unit: string
}
