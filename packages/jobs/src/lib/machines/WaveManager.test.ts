import type { BackendRow, TaskRow } from '@mastichead/core'
import { VirtualTimerService, createTestConfiguration } from '@mastichead/core'
import { describe, expect, it } from 'vitest'
import { StreamFollower } from '../log/StreamFollower.js'
import { SilentEventLog } from '../logs/SilentEventLog.js'
import { ProgressWriter } from '../owner/terms/ProgressWriter.js'
import { createTestContext } from '../testing/createTestContext.js'
import { createTestFleet } from '../testing/createTestFleet.js'
import { MemoryLog } from '../testing/MemoryLog.js'
import { MemoryMachineController } from '../testing/MemoryMachineController.js'
import { MemoryStore } from '../testing/MemoryStore.js'
import { Evacuator } from './Evacuator.js'
import { MachineOrderJournal } from './MachineOrderJournal.js'
import { MachineInventory } from './MachineInventory.js'
import { WaveManager } from './WaveManager.js'

/** Age of the term from which every machine may be ordered, in milliseconds. */
const LEAD_TIME = 4_000
/** Time until a record is in the log, in milliseconds. */
const CALL_LATENCY = 100

// Guards against a step that loses more tasks than it may miss, because two orders were each allowed
// before the other had taken effect.
describe('an order for a machine that waits until it is durable', () => {
	it('keeps the tasks of other machines from being stopped', async () => {
		const wave = await createTestWave()
		await wave.advance(CALL_LATENCY / 2)
		wave.evacuate()
		expect(wave.stoppedTasks).toEqual([])
		await wave.advance(CALL_LATENCY)
		expect(wave.controller.orders).toHaveLength(1)
	})

	it('is not sent if another task of the step has become unavailable meanwhile', async () => {
		const wave = await createTestWave()
		await wave.advance(CALL_LATENCY / 2)
		wave.sibling.availableSince = undefined
		await wave.advance(CALL_LATENCY)
		expect(wave.controller.orders).toEqual([])
		expect(wave.task.interrupting).toBe(false)
		wave.sibling.availableSince = 0
		await wave.advance(CALL_LATENCY * 2)
		expect(wave.controller.orders).toHaveLength(1)
	})
})

// Guards against work that runs again because its machine was taken down while its end, listed only
// there, was not in the log yet.
it('takes no machine down whose ends are not durable', async () => {
	const wave = await createTestWave()
	await wave.advance(CALL_LATENCY / 2)
	wave.backend.lastProcessedEnd = 3
	await wave.advance(CALL_LATENCY * 2)
	expect(wave.controller.orders).toEqual([])
	wave.backend.lastAcknowledgedEnd = 3
	await wave.advance(CALL_LATENCY * 3)
	expect(wave.controller.orders).toHaveLength(1)
})

// Guards against machines that take no tasks for seconds after a change of the owner, though their lasting
// tasks keep the wave from taking them down.
it('does not close a machine with lasting tasks before these may be interrupted', async () => {
	const wave = await createTestWave(false)
	await wave.advance(CALL_LATENCY * 3)
	expect(wave.backend.cordoned).toBe(false)
	expect(wave.controller.orders).toEqual([])
})

/** Creates a step of two lasting tasks, one of which may be unavailable, and a wave over one machine. */
async function createTestWave(mayInterruptTasks = true): Promise<TestWave> {
	const timers = new VirtualTimerService()
	const configuration = createTestConfiguration()
	const context = { ...createTestContext(timers), getConfiguration: () => configuration }
	const log = new MemoryLog(new MemoryStore(), timers)
	log.callLatency = CALL_LATENCY
	const events = new SilentEventLog()
	const options = { maximumWait: 0, getPollDelay: () => 0 }
	const follower = new StreamFollower('progress', log, timers, events, () => undefined, options)
	const writer = new ProgressWriter(context, log, follower)
	const controller = new MemoryMachineController(['b1', 'b2'].map(createMachine))
	const inventory = new MachineInventory(context, controller)
	const [task, sibling] = placeLastingTasks(context)
	const waves = new WaveManager(context, {
		controller,
		taskUpdater: { endLostRuns: () => undefined },
		inventory,
		orders: new MachineOrderJournal(context, writer, () => undefined, false),
		isArriving: () => false,
		getSlack: () => 1,
		getWaves: () => new Map([['wave/1', createWave()]]),
		writer,
		reportWave: () => Promise.resolve(true),
		getWaveProgress: () => undefined,
	})
	const stoppedTasks: string[] = []
	const evacuator = new Evacuator(context, ({ id }) => stoppedTasks.push(id))
	const advance = async (duration: number): Promise<void> => {
		for (let step = 0; step < duration; step += 1) {
			timers.advance(1)
			await new Promise((resolve) => setImmediate(resolve))
		}
	}
	timers.advance(LEAD_TIME)
	await inventory.refresh()
	const run = async (): Promise<void> => {
		for (;;) {
			await waves.advanceWaves(mayInterruptTasks)
			await new Promise<void>((resolve) => timers.after(1, resolve))
		}
	}
	void run()
	const evacuate = (): void => {
		const row = context.backends.getOrCreate('b2')
		row.draining = true
		evacuator.evacuate()
	}
	const backend = context.backends.getOrCreate('b1')
	return { controller, stoppedTasks, task, sibling, backend, evacuate, advance }
}

interface TestWave {
	readonly controller: MemoryMachineController
	/** Tasks that were stopped on the machine that is not in the wave. */
	readonly stoppedTasks: readonly string[]
	/** Task on the machine in the wave, and the other task of its step. */
	readonly task: TaskRow
	readonly sibling: TaskRow
	/** Backend server on the machine in the wave. */
	readonly backend: BackendRow
	/** Drains the machine that is not in the wave. */
	evacuate(): void
	advance(duration: number): Promise<void>
}

function placeLastingTasks(context: ReturnType<typeof createTestContext>): [TaskRow, TaskRow] {
	const { jobs, backends } = context
	const job = createTestFleet.createJob(1, [{ count: 2, lasting: true, mayMiss: 1 }])
	const [first, second] = jobs.add(job).tasks
	if (!first || !second) throw new Error('the step has two tasks')
	for (const [task, id] of [
		[first, 'b1'],
		[second, 'b2'],
	] as const) {
		const row = backends.getOrCreate(id)
		row.machine = `machine-${id}`
		row.service = 'desk'
		row.registered = true
		row.reconciled = true
		Object.assign(task, { phase: 'placed', backend: id, attempt: 1, availableSince: 0 })
		backends.assign(task)
	}
	return [first, second]
}

function createWave() {
	return { number: 1, machines: ['machine-b1'], deadlineSeconds: 60, parallelism: 1 }
}

function createMachine(backend: string) {
	const capacity = { cpu: 16_000, memory: 64_000, gpu: 0 }
	const id = `machine-${backend}`
	return { id, service: 'desk', state: 'up' as const, zone: 'a', labels: [], capacity, backend }
}
