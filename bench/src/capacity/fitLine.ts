import type { LineFit } from './LineFit.js'

/**
 * Fits a straight line through points by least squares.
 *
 * @param points - pairs of size and value, with at least two different sizes
 * @internal
 */
export function fitLine(points: readonly (readonly [number, number])[]): LineFit {
	const count = points.length
	const meanSize = points.reduce((sum, [size]) => sum + size, 0) / count
	const meanValue = points.reduce((sum, [, value]) => sum + value, 0) / count
	const sizeSquareSum = points.reduce((sum, [size]) => sum + (size - meanSize) ** 2, 0)
	const productSum = points.reduce(
		(sum, [size, value]) => sum + (size - meanSize) * (value - meanValue),
		0
	)
	const slope = productSum / sizeSquareSum
	const intercept = meanValue - slope * meanSize
	const largestValue = Math.max(...points.map(([, value]) => Math.abs(value)))
	const residuals = points.map(([size, value]) => Math.abs(value - intercept - slope * size))
	return { slope, intercept, residualPercent: (100 * Math.max(...residuals)) / largestValue }
}
