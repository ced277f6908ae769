import { expect, it } from 'vitest'
import type { Machine } from '../ports/Machine.js'
import { createTestFleet } from '../testing/createTestFleet.js'
import { simulateMaintenance } from '../testing/simulateMaintenance.js'

const { createJob } = createTestFleet
const BACKENDS = 4
const TASKS = 3
/** Intervals between two changes of the owner, in milliseconds. */
const INTERVALS = [2_000, 3_000, 5_000, 8_000]
/** Time in which the wave ends, in milliseconds. */
const WAVE_TIME = 40_000
/** Duration of a task, in milliseconds; longer than a wave waits for tasks to end by themselves. */
const RUN_DURATION = 9_000

// Guards against a wave that never ends, because the time in which a new owner interrupts nothing
// starts over with each change of the owner.
it.each(INTERVALS)(
	'a wave over machines with lasting tasks ends although the owner changes every %i ms',
	async (interval) => {
		const { fleet, simulation } = await createTestWave()
		const job = createJob(1, [{ count: TASKS, lasting: true, mayMiss: 1, maximumPerBackend: 1 }])
		void fleet.instances[0]?.daemon.intake.submit(job, fleet.timers.now() + 2_000)
		await fleet.advance(3_000)
		expect(fleet.journal.running).toHaveLength(TASKS)
		startWave(fleet, [...simulation.machines.keys()])
		const end = fleet.timers.now() + WAVE_TIME
		while (fleet.timers.now() < end) {
			fleet.store.rebalance()
			await fleet.advance(interval)
		}
		expect(simulation.done.size).toBe(BACKENDS)
		expect(getReports(fleet).at(-1)).toBe('completed')
		expect(simulation.maximumDown).toBe(1)
		expect(fleet.journal.violations).toEqual([])
	}
)

// Guards against a wave that is never reported as completed, because the time for which a machine must be
// missing starts over with each change of the owner.
it.each(INTERVALS)(
	'a wave with a machine that was removed ends although the owner changes every %i ms',
	async (interval) => {
		const { fleet, simulation } = await createTestWave()
		startWave(fleet, [...simulation.machines.keys(), 'removed'])
		const end = fleet.timers.now() + WAVE_TIME
		while (fleet.timers.now() < end) {
			fleet.store.rebalance()
			await fleet.advance(interval)
		}
		expect(simulation.done.size).toBe(BACKENDS)
		expect(getReports(fleet).at(-1)).toBe('completed')
	}
)

// Guards against a wave that waits for ever for a busy machine, because the time for tasks to end by
// themselves starts over with each change of the owner.
it.each(INTERVALS)(
	'a wave over busy machines ends although the owner changes every %i ms',
	async (interval) => {
		const { fleet, simulation } = await createTestWave()
		for (const backend of fleet.backends.values()) backend.getRunDuration = () => RUN_DURATION
		startWave(fleet, [...simulation.machines.keys()])
		const end = fleet.timers.now() + WAVE_TIME
		let changedAt = 0
		for (let number = 1; fleet.timers.now() < end; number += 1) {
			const job = createJob(number, [{ count: 6, estimate: RUN_DURATION }])
			void fleet.instances[0]?.daemon.intake.submit(job, fleet.timers.now() + 2_000)
			if (fleet.timers.now() >= changedAt + interval) {
				fleet.store.rebalance()
				changedAt = fleet.timers.now()
			}
			await fleet.advance(500)
		}
		expect(simulation.done.size).toBe(BACKENDS)
		expect(getReports(fleet).at(-1)).toBe('completed')
		expect(simulation.maximumDown).toBe(1)
		expect(fleet.journal.violations).toEqual([])
	}
)

async function createTestWave() {
	const machines = Array.from({ length: BACKENDS }, (_, index) => createMachine(`b${index + 1}`))
	const fleet = createTestFleet({ instances: 3, backends: BACKENDS, machines })
	for (const backend of fleet.backends.values()) backend.getRunDuration = () => undefined
	const simulation = simulateMaintenance(fleet, { machines })
	await fleet.advance(500)
	return { fleet, simulation }
}

function startWave(fleet: ReturnType<typeof createTestFleet>, machines: readonly string[]): void {
	const wave = { number: 1, machines, deadlineSeconds: 1, parallelism: 1 }
	fleet.store.append('operator', [{ key: 'wave/1', value: JSON.stringify(wave) }])
}

function getReports(fleet: ReturnType<typeof createTestFleet>): (string | undefined)[] {
	return fleet.store.getEntries('reports').map(({ value }) => value)
}

function createMachine(backend: string): Machine {
	const capacity = { cpu: 16_000, memory: 64_000, gpu: 0 }
	const id = `machine-${backend}`
	return { id, service: 'desk', state: 'up', zone: 'a', labels: [], capacity, backend }
}
