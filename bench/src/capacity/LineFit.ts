/**
 * A straight line through measured points.
 *
 * @internal
 */
export interface LineFit {
	/** Growth of the value for one unit of size. */
	readonly slope: number
	readonly intercept: number
	/** Largest distance of a point from the line, in percent of the largest value. */
	readonly residualPercent: number
}
