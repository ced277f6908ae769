import type { CapacityRow } from './CapacityRow.js'
import { fitLine } from './fitLine.js'

const SIGNIFICANT_DIGITS = 4

/**
 * Fits a line through measured points and creates the row that reports it.
 *
 * @param points - pairs of size and value
 * @internal
 */
export function createCapacityRow(
	labels: { readonly role: string; readonly measure: string; readonly size: string },
	targetSize: number,
	points: readonly (readonly [number, number])[]
): CapacityRow {
	const { slope, intercept, residualPercent } = fitLine(points)
	return {
		...labels,
		points: points.map(([size, value]) => `${size}: ${round(value)}`).join(', '),
		slope: round(slope),
		intercept: round(intercept),
		residualPercent: round(residualPercent),
		targetSize,
		atTarget: round(intercept + slope * targetSize),
	}
}

function round(value: number): number {
	return Number(value.toPrecision(SIGNIFICANT_DIGITS))
}
