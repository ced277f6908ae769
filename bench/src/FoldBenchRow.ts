/**
 * One measurement of folding log entries into state, at one fleet size.
 *
 * @public
 */
export interface FoldBenchRow {
	readonly measure: string
	/** Number of backend servers in the fleet document. */
	readonly backendServers: number
	readonly pools: number
	readonly teams: number
	readonly value: number
	readonly unit: string
}
