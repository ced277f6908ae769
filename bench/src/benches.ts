import type { Bench } from './Bench.js'
import { moveBench } from './moveBench.js'
import { placementBench } from './placementBench.js'
import { shareBench } from './shareBench.js'
import { waveBench } from './waveBench.js'

/**
 * Every bench, in the order in which they run.
 *
 * @internal
 */
export const benches: readonly Bench[] = [
	{ name: 'placement', run: (options) => placementBench(options).map((row) => ({ ...row })) },
	{ name: 'shares', run: (options) => shareBench(options).map((row) => ({ ...row })) },
	{ name: 'moves', run: (options) => moveBench(options).map((row) => ({ ...row })) },
	{ name: 'waves', run: (options) => waveBench(options).map((row) => ({ ...row })) },
]
