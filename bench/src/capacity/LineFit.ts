/**
 * Straight line fitted through measured points.
 *
 * @internal
 */
export interface LineFit {
	/** Growth of the value per unit of size. */
	readonly slope: number
	readonly intercept: number
	/** Largest residual, in percent of the largest value. */
	readonly residualPercent: number
}
