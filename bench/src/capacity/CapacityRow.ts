/**
 * One measured slope: the value at each size, the line through them, and the line at the size to
 * design for.
 *
 * @internal
 */
export interface CapacityRow {
	readonly role: string
	readonly measure: string
	/** What the sizes count. */
	readonly size: string
	/** `size: value` of each measurement. */
	readonly points: string
	readonly slope: number
	readonly intercept: number
	readonly residualPercent: number
	readonly targetSize: number
	readonly atTarget: number
}
