import fc from 'fast-check'
import { expect, it } from 'vitest'
import type { PausableTimerService } from '../testing/PausableTimerService.js'
import { createTestFleet } from '../testing/createTestFleet.js'

/** Time of faults, and time after them in which everything has to be as it should, in ms. */
const FAULT_TIME = 9_000
const CALM_TIME = 22_000
const INSTANCES = 3
const BACKENDS = 4
/** Time of a call to the log, in milliseconds. */
const NORMAL_CALL_TIME = 4
const SLOW_CALL_TIME = 400
/** Suspensions in a row, and milliseconds between two of them. */
const PAUSES = 3
const WAKE_TIME = 150

const fault = fc.record({
	kind: fc.constantFrom(
		'rebalance',
		'cut-log',
		'cut-backend',
		'cut-backend-from-instance',
		'restart-backend',
		'late-starts',
		'progress-down',
		'intake-down',
		'compact',
		'stop-instance',
		'pause-instance',
		'pause-again-and-again',
		'slow-log'
	),
	at: fc.integer({ min: 500, max: FAULT_TIME }),
	duration: fc.integer({ min: 50, max: 5_000 }),
	instance: fc.integer({ min: 0, max: INSTANCES - 1 }),
	backend: fc.integer({ min: 1, max: BACKENDS }),
})

it('runs no task twice, loses none, and ends with everything done under random faults', async () => {
	const scenario = fc.record({
		faults: fc.array(fault, { minLength: 1, maxLength: 6 }),
		jobs: fc.array(fc.integer({ min: 300, max: FAULT_TIME }), { minLength: 2, maxLength: 12 }),
	})
	const property = fc.asyncProperty(scenario, async ({ faults, jobs }) => {
		expect(await runScenario(faults, jobs)).toEqual([])
	})
	await fc.assert(property, {
		seed: 20261204,
		numRuns: 80,
		examples: [[unreadIntake]],
	})
}, 240_000)

/** A new owner lists the ends of jobs whose submissions it cannot read yet. */
const unreadIntake = {
	faults: [
		{ kind: 'rebalance' as const, at: 500, duration: 50, instance: 0, backend: 1 },
		{ kind: 'intake-down' as const, at: 500, duration: 183, instance: 0, backend: 1 },
	],
	jobs: [300, 300],
}

interface Fault {
	readonly kind: string
	readonly at: number
	readonly duration: number
	readonly instance: number
	readonly backend: number
}

/** Plays a scenario and says what was wrong. */
async function runScenario(
	faults: readonly Fault[],
	submissions: readonly number[]
): Promise<string[]> {
	const fleet = createTestFleet({ instances: INSTANCES, backends: BACKENDS })
	for (const backend of fleet.backends.values()) {
		backend.getRunDuration = (task) => (task.startsWith('0000000000000001') ? undefined : 400)
	}
	await fleet.advance(400)
	const accepted: string[] = []
	const submit = (number: number, lasting: boolean): void => {
		const steps = lasting
			? [{ count: 4, lasting, maximumPerBackend: 2 }]
			: [{ count: 3 }, { count: 2, dependsOn: [0] }]
		const job = createTestFleet.createJob(number, steps)
		const intake = fleet.instances[number % INSTANCES]?.daemon.intake
		void intake?.submit(job, fleet.timers.now() + 2_500).then((answer) => {
			if (answer.kind === 'accepted') accepted.push(job.id)
		})
	}
	submit(1, true)
	for (const [place, at] of submissions.entries()) {
		fleet.timers.after(at, () => {
			submit(place + 2, false)
		})
	}
	for (const one of faults)
		fleet.timers.after(one.at, () => {
			applyFault(fleet, one)
		})
	await fleet.advance(FAULT_TIME + CALM_TIME)
	const problems = [...fleet.journal.violations]
	const lasting = fleet.journal.running.filter((task) => task.startsWith('0000000000000001'))
	if (lasting.length !== 4) problems.push(`${lasting.length} of 4 lasting tasks run`)
	const intake = fleet.instances[2]?.daemon.intake
	for (const id of accepted) {
		if (id === '0000000000000001') continue
		const state = intake?.getState(id)
		await fleet.advance(10)
		const answer = await state
		if (answer?.kind !== 'state' || answer.state !== 'completed') {
			problems.push(`${id}: ${JSON.stringify(answer)}`)
		}
	}
	return problems
}

function applyFault(fleet: ReturnType<typeof createTestFleet>, one: Fault): void {
	const { timers, store } = fleet
	const instance = fleet.instances[one.instance]
	const backend = fleet.backends.get(`b${one.backend}`)
	if (!instance || !backend) return
	const later = (undo: () => void): void => {
		timers.after(one.duration, undo)
	}
	switch (one.kind) {
		case 'rebalance':
			store.rebalance()
			break
		case 'cut-log':
			instance.log.disconnected = true
			later(() => (instance.log.disconnected = false))
			break
		case 'cut-backend':
			backend.disconnected = true
			later(() => (backend.disconnected = false))
			break
		case 'cut-backend-from-instance':
			instance.backendClient.unreachable.add(backend.id)
			later(() => instance.backendClient.unreachable.delete(backend.id))
			break
		case 'restart-backend':
			backend.restart()
			break
		case 'late-starts':
			instance.backendClient.startDelay = 1_200
			later(() => (instance.backendClient.startDelay = undefined))
			break
		case 'progress-down':
			store.unavailableStreams.add('progress')
			later(() => store.unavailableStreams.delete('progress'))
			break
		case 'intake-down':
			store.unavailableStreams.add('intake/0')
			later(() => store.unavailableStreams.delete('intake/0'))
			break
		case 'compact':
			store.compact('progress')
			store.compact('intake/0')
			break
		case 'stop-instance':
			// The last one stays: with none left nothing can be done.
			if (one.instance < INSTANCES - 1) void instance.daemon.stop()
			break
		case 'pause-instance':
			instance.timers.pause()
			later(() => {
				instance.timers.resume()
			})
			break
		case 'pause-again-and-again':
			pauseRepeatedly(fleet, instance.timers, one.duration)
			break
		case 'slow-log':
			instance.log.callLatency = SLOW_CALL_TIME
			later(() => (instance.log.callLatency = NORMAL_CALL_TIME))
			break
	}
}

/** Suspends a process for a lease's time or so, lets it run for a moment, and so on. */
function pauseRepeatedly(
	{ timers }: ReturnType<typeof createTestFleet>,
	own: PausableTimerService,
	wakeAfter: number
): void {
	for (let pause = 0; pause < PAUSES; pause += 1) {
		const at = pause * (wakeAfter + WAKE_TIME)
		timers.after(at, () => {
			own.pause()
		})
		timers.after(at + wakeAfter, () => {
			own.resume()
		})
	}
}
