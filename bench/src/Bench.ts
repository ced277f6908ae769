import type { BenchRow } from './BenchRow.js'

/**
 * A bench by name.
 *
 * @internal
 */
export interface Bench {
	readonly name: string
	readonly run: (options: {
		readonly seed: number
	}) => readonly BenchRow[] | Promise<readonly BenchRow[]>
}
