/**
 * Growth of one measure with one size: the measured points, the line fitted through them, and the
 * value of that line at the target size.
 *
 * @internal
 */
export interface CapacityRow {
	readonly role: string
	readonly measure: string
	/** What the size counts, for example backend servers. */
	readonly size: string
	/** Measured points as `size: value`, separated by commas. */
	readonly points: string
	readonly slope: number
	readonly intercept: number
	readonly residualPercent: number
	/** Size that the system is designed for. */
	readonly targetSize: number
	/** Value of the fitted line at `targetSize`. */
	readonly atTarget: number
}
