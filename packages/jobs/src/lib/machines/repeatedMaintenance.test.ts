import type { Job } from '@mastichead/core'
import { expect, it } from 'vitest'
import type { Machine } from '../ports/Machine.js'
import { createTestFleet } from '../testing/createTestFleet.js'
import { simulateMaintenance } from '../testing/simulateMaintenance.js'

const { createJob } = createTestFleet
const BACKENDS = 3
const EIGHT_CORES = { cpu: 8_000, memory: 1_000, gpu: 0 }
/** Time from the first order to the answer to the repeated one, in milliseconds. */
const REPETITION_TIME = 9_000
/** Durations of tasks, in milliseconds; a wave waits 4 s for tasks to end by themselves. */
const SHORT_RUN = 3_000
const LONG_RUN = 12_000

// Guards against tasks that run twice, because a repeated order for a maintenance that was already done
// was taken for the end of everything that runs on the machine by then.
it('an order that is repeated after the machine is back does not end the runs on its new server', async () => {
	const machines = Array.from({ length: BACKENDS }, (_, index) => createMachine(`b${index + 1}`))
	const fleet = createTestFleet({ instances: 2, backends: BACKENDS, machines })
	const simulation = simulateMaintenance(fleet, { machines })
	const short = createJob(1, [{ count: 4, estimate: SHORT_RUN, needs: EIGHT_CORES }])
	const long = createJob(2, [{ count: 2, estimate: LONG_RUN, needs: EIGHT_CORES }])
	for (const backend of fleet.backends.values())
		backend.getRunDuration = (task) => (task.startsWith(short.id) ? SHORT_RUN : LONG_RUN)
	const submit = (job: Job): void => {
		void fleet.instances[0]?.daemon.intake.submit(job, fleet.timers.now() + 2_000)
	}
	await fleet.advance(4_000)
	simulation.lostAnswers = 1
	const wave = { number: 1, machines: ['machine-b1'], deadlineSeconds: 1, parallelism: 1 }
	fleet.store.append('operator', [{ key: 'wave/1', value: JSON.stringify(wave) }])
	while (fleet.machines.orders.length === 0) await fleet.advance(10)
	submit(short)
	await fleet.advance(300)
	submit(long)
	await fleet.advance(REPETITION_TIME)
	expect(fleet.machines.orders).toHaveLength(2)
	expect(fleet.store.getEntries('reports').at(-1)?.value).toBe('completed')
	expect(fleet.journal.violations).toEqual([])
	const runs = [0, 1].map((index) => fleet.journal.getRuns(`${long.id}.0.0.${index}`))
	expect(runs.map((list) => list.map(({ backend }) => backend))).toEqual([['n1'], ['n1']])
	// The new server takes tasks again.
	await fleet.advance(LONG_RUN)
	const next = createJob(3, [{ count: 6, needs: EIGHT_CORES }])
	submit(next)
	await fleet.advance(1_000)
	expect(fleet.journal.running.filter((task) => task.startsWith(next.id))).toHaveLength(6)
})

function createMachine(backend: string): Machine {
	const capacity = { cpu: 16_000, memory: 64_000, gpu: 0 }
	const id = `machine-${backend}`
	return { id, service: 'desk', state: 'up', zone: 'a', labels: [], capacity, backend }
}
