/**
 * Source of random choices.
 *
 * @public
 */
export interface Random {
	/** Returns a whole number; both bounds are included. */
	integer(minimum: number, maximum: number): number
	pick<T>(items: readonly T[]): T
}
