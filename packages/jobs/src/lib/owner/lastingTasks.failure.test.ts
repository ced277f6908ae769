import fc from 'fast-check'
import { expect, it } from 'vitest'
import { runScenario } from '../testing/runScenario.js'
import { scenarioArbitrary } from '../testing/scenarioArbitrary.js'

const SEED = 20261204
const RUNS = 60
const TEST_TIMEOUT = 600_000

// Guards against an accepted lasting task that stands without a run, or runs twice, because servers are lost
// while the owner changes again and again.
it(
	'runs each lasting task again soon, and none twice, however owners and servers fail',
	async () => {
		const property = fc.asyncProperty(scenarioArbitrary, async (faults) => {
			expect(await runScenario(faults)).toEqual([])
		})
		await fc.assert(property, { seed: SEED, numRuns: RUNS })
	},
	TEST_TIMEOUT
)
