import fc from 'fast-check'
import { expect, it } from 'vitest'
import { intakeStreams } from '../ports/intakeStreams.js'
import type { PausableTimerService } from '../testing/PausableTimerService.js'
import { createTestFleet } from '../testing/createTestFleet.js'

/** Time during which faults start, and time for the fleet to recover afterwards, in milliseconds. */
const FAULT_TIME = 9_000
const RECOVERY_TIME = 22_000
const INSTANCES = 3
const BACKENDS = 4
/** Time that a caller gives a query, in milliseconds. */
const QUERY_TIMEOUT = 2_000
/** Latencies of a call to the log, in milliseconds. */
const NORMAL_CALL_TIME = 4
const SLOW_CALL_TIME = 400
/** Number of suspensions of a process, and the time that it runs between two, in milliseconds. */
const PAUSES = 3
const RUN_TIME = 150
const HALF_OF_INTAKE = intakeStreams.slice(0, 3)

const faultArbitrary = fc.record({
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
		'pause-repeatedly',
		'slow-log'
	),
	at: fc.integer({ min: 500, max: FAULT_TIME }),
	duration: fc.integer({ min: 50, max: 5_000 }),
	instance: fc.integer({ min: 0, max: INSTANCES - 1 }),
	backend: fc.integer({ min: 1, max: BACKENDS }),
})

it('runs no task twice, loses none, and completes every job under random faults', async () => {
	const scenario = fc.record({
		faults: fc.array(faultArbitrary, { minLength: 1, maxLength: 6 }),
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

/** A new owner gets ends of jobs from a backend server before it can read their submissions. */
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

/** Runs a scenario and returns the problems found. */
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
	for (const [index, at] of submissions.entries()) {
		fleet.timers.after(at, () => {
			submit(index + 2, false)
		})
	}
	for (const scheduled of faults)
		fleet.timers.after(scheduled.at, () => {
			applyFault(fleet, scheduled)
		})
	await fleet.advance(FAULT_TIME + RECOVERY_TIME)
	const problems = [...fleet.journal.violations]
	const lasting = fleet.journal.running.filter((task) => task.startsWith('0000000000000001'))
	if (lasting.length !== 4) problems.push(`${lasting.length} of 4 lasting tasks are running`)
	const intake = fleet.instances[2]?.daemon.intake
	for (const id of accepted) {
		if (id === '0000000000000001') continue
		const state = intake?.getState(id, fleet.timers.now() + QUERY_TIMEOUT)
		await fleet.advance(10)
		const answer = await state
		if (answer?.kind !== 'state' || answer.state !== 'completed') {
			problems.push(`${id}: ${JSON.stringify(answer)}`)
		}
	}
	return problems
}

function applyFault(fleet: ReturnType<typeof createTestFleet>, injected: Fault): void {
	const { timers, store } = fleet
	const instance = fleet.instances[injected.instance]
	const backend = fleet.backends.get(`b${injected.backend}`)
	if (!instance || !backend) return
	const undoLater = (undo: () => void): void => {
		timers.after(injected.duration, undo)
	}
	switch (injected.kind) {
		case 'rebalance':
			store.rebalance()
			break
		case 'cut-log':
			instance.log.disconnected = true
			undoLater(() => (instance.log.disconnected = false))
			break
		case 'cut-backend':
			backend.disconnected = true
			undoLater(() => (backend.disconnected = false))
			break
		case 'cut-backend-from-instance':
			instance.backendClient.unreachable.add(backend.id)
			undoLater(() => instance.backendClient.unreachable.delete(backend.id))
			break
		case 'restart-backend':
			backend.restart()
			break
		case 'late-starts':
			instance.backendClient.startDelay = 1_200
			undoLater(() => (instance.backendClient.startDelay = undefined))
			break
		case 'progress-down':
			store.unavailableStreams.add('progress')
			undoLater(() => store.unavailableStreams.delete('progress'))
			break
		case 'intake-down':
			for (const stream of HALF_OF_INTAKE) {
				store.unavailableStreams.add(stream)
				undoLater(() => store.unavailableStreams.delete(stream))
			}
			break
		case 'compact':
			store.compact('progress')
			for (const stream of intakeStreams) store.compact(stream)
			break
		case 'stop-instance':
			// The last instance keeps running, because no job can complete without one.
			if (injected.instance < INSTANCES - 1) void instance.daemon.stop()
			break
		case 'pause-instance':
			instance.timers.pause()
			undoLater(() => {
				instance.timers.resume()
			})
			break
		case 'pause-repeatedly':
			pauseRepeatedly(fleet, instance.timers, injected.duration)
			break
		case 'slow-log':
			instance.log.callLatency = SLOW_CALL_TIME
			undoLater(() => (instance.log.callLatency = NORMAL_CALL_TIME))
			break
	}
}

/** Suspends a process several times, with short times between in which it runs. */
function pauseRepeatedly(
	{ timers }: ReturnType<typeof createTestFleet>,
	instanceTimers: PausableTimerService,
	duration: number
): void {
	for (let pause = 0; pause < PAUSES; pause += 1) {
		const startAt = pause * (duration + RUN_TIME)
		timers.after(startAt, () => {
			instanceTimers.pause()
		})
		timers.after(startAt + duration, () => {
			instanceTimers.resume()
		})
	}
}
