import { expect, it } from 'vitest'
import { createTestFleet } from '../testing/createTestFleet.js'

const { createJob } = createTestFleet
/** More tasks than ends fit into one listing. */
const TASKS = 650

// Guards against a task that is started again after its end, because a listing of the first 500 ends
// that its server holds did not name it.
it('a task runs once if its server holds more ends than one listing names', async () => {
	const fleet = createTestFleet({ instances: 1, backends: 1 })
	await fleet.advance(500)
	const job = createJob(1, [{ count: TASKS, needs: { cpu: 10, memory: 10, gpu: 0 } }])
	void fleet.instances[0]?.daemon.intake.submit(job, fleet.timers.now() + 2_000)
	await fleet.advance(3_000)
	const runs = Array.from({ length: TASKS }, (_, index) =>
		fleet.journal.getRuns(`${job.id}.0.0.${index}`)
	)
	expect(runs.filter(({ length }) => length !== 1)).toEqual([])
	expect(fleet.journal.violations).toEqual([])
	const state = fleet.instances[0]?.daemon.intake.getState(job.id, fleet.timers.now() + 2_000)
	await fleet.advance(50)
	expect(await state).toEqual({ kind: 'state', state: 'completed' })
})
