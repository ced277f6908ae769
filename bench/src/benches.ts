import { allowanceBench } from './allowanceBench.js'
import type { Bench } from './Bench.js'
import { capacityBench } from './capacityBench.js'
import { foldBench } from './foldBench.js'
import { moveBench } from './moveBench.js'
import { pathBench } from './pathBench.js'
import { placementBench } from './placementBench.js'
import { planningBench } from './planningBench.js'
import { rolloutBench } from './rolloutBench.js'
import { shareBench } from './shareBench.js'
import { waveBench } from './waveBench.js'

/**
 * All benches, in the order in which they run.
 *
 * @internal
 */
export const benches: readonly Bench[] = [
	{ name: 'path', run: async () => (await pathBench()).map((row) => ({ ...row })) },
	{ name: 'rollout', run: async () => (await rolloutBench()).map((row) => ({ ...row })) },
	{ name: 'fold', run: () => foldBench().map((row) => ({ ...row })) },
	{ name: 'capacity', run: async () => (await capacityBench()).map((row) => ({ ...row })) },
	{ name: 'planning', run: () => planningBench().map((row) => ({ ...row })) },
	{ name: 'allowances', run: () => allowanceBench().map((row) => ({ ...row })) },
	{ name: 'placement', run: (options) => placementBench(options).map((row) => ({ ...row })) },
	{ name: 'shares', run: (options) => shareBench(options).map((row) => ({ ...row })) },
	{ name: 'moves', run: (options) => moveBench(options).map((row) => ({ ...row })) },
	{ name: 'waves', run: (options) => waveBench(options).map((row) => ({ ...row })) },
]
