/**
 * Relative weights of the costs that a move policy balances. Only their ratios matter.
 *
 * @public
 */
export interface MoveWeights {
	/** Weight of late work and of deviation from the teams' shares. */
	readonly shares: number
	/** Weight of moves of backend servers between pools. */
	readonly moves: number
	/** Weight of idle backend servers. */
	readonly buffer: number
}
