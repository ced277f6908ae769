import type { BenchRow } from './BenchRow.js'

/**
 * Measurement that the command line runs by name. Its rows share one set of columns.
 *
 * @internal
 */
export interface Bench {
	readonly name: string
	readonly run: (options: {
		readonly seed: number
	}) => readonly BenchRow[] | Promise<readonly BenchRow[]>
}
