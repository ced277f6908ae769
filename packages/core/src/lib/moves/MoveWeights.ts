/**
 * How much operators mind each cost; only the proportions count.
 *
 * @public
 */
export interface MoveWeights {
	/** Late work and distance from the shares. */
	readonly shares: number
	/** Moves of backend servers between pools. */
	readonly moves: number
	/** Backend servers that stand idle. */
	readonly buffer: number
}
