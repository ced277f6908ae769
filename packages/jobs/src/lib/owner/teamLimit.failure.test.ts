import fc from 'fast-check'
import { expect, it } from 'vitest'
import { runScenario } from '../testing/runScenario.js'
import { scenarioArbitrary } from '../testing/scenarioArbitrary.js'

const SEED = 1
const RUNS = 100
const TEST_TIMEOUT = 600_000
/** Number of tasks that may run at the same time; less than the jobs of a scenario have. */
const LIMIT = 9

// Guards against starts above a team's limit by an owner that does not count all runs of earlier ones.
it(
	'starts nothing above the limit of a team, however owners, servers and the log fail',
	async () => {
		const property = fc.asyncProperty(scenarioArbitrary, async (faults) => {
			expect(await runScenario(faults, { limit: LIMIT })).toEqual([])
		})
		await fc.assert(property, { seed: SEED, numRuns: RUNS })
	},
	TEST_TIMEOUT
)
