import { createTestConfiguration, type PlacementPlanner } from '@mastichead/core'
import { expect, it } from 'vitest'
import { CountingTimerService } from '../testing/CountingTimerService.js'
import { createTestContext } from '../testing/createTestContext.js'
import { PlanningLoop } from './terms/PlanningLoop.js'
import type { ProgressWriter } from './terms/ProgressWriter.js'

/** Time in which changes come without a pause, in milliseconds. */
const DURATION = 1_000

// Names the load: a peak, in which each plan has thousands of jobs to look at and each end of a run asks for one.
it('plans take at most about a third of the time, and follow a change at once while they are short', async () => {
	expect(await countPlans(20)).toBeLessThanOrEqual(DURATION / 60 + 2)
	expect(await countPlans(0)).toBeGreaterThan(DURATION / 10)
	// However long plans take, the next one follows soon.
	expect(await countPlans(200)).toBeGreaterThanOrEqual(DURATION / 265)
})

/** Returns how many plans are made while something changes all the time, if each takes `planTime`. */
async function countPlans(planTime: number): Promise<number> {
	const timers = new CountingTimerService()
	let plans = 0
	const planner = {
		plan: () => {
			plans += 1
			timers.lag += planTime
			return []
		},
	} as unknown as PlacementPlanner
	const context = {
		...createTestContext(timers),
		getConfiguration: () => createTestConfiguration(),
	}
	const loop = new PlanningLoop(context, {
		planner,
		writer: { appendDelay: 0 } as unknown as ProgressWriter,
		getMachineLimit: () => undefined,
		getArrivingMachines: () => ({ cores: 0, delay: 0 }),
	} as unknown as ConstructorParameters<typeof PlanningLoop>[1])
	loop.start()
	while (timers.now() < DURATION) {
		loop.schedule()
		timers.advance(1)
		await Promise.resolve()
	}
	loop.stop()
	return plans
}
