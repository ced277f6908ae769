import type { TimerService } from '@mastichead/core'
import type { EventLog } from '../logs/EventLog.js'
import { intakeStreams } from '../ports/intakeStreams.js'
import type { LogStream } from '../ports/LogStream.js'
import type { MemoryBackend } from './MemoryBackend.js'
import type { ScenarioFault } from './ScenarioFault.js'
import { createTestFleet } from './createTestFleet.js'
import { findAbsences } from './findAbsences.js'
import { findOverloads } from './findOverloads.js'

const INSTANCES = 3
const BACKENDS = 7
const MILLICORES_PER_TASK = 1_000
/** Number of servers that may leave for good. */
const MAXIMUM_GONE = 3
/** Time before the first fault, and after the end of the last one, in milliseconds. */
const START_TIME = 1_500
const REST_TIME = 16_000
/** Time after which the registration of a server that is gone is removed, in milliseconds. */
const REGISTRATION_TIME = 3_000
/** Time between two short jobs, and how long one of their tasks runs, in milliseconds. */
const SUBMISSION_INTERVAL = 1_500
const SHORT_RUN = 400
/** Time that a caller gives a submission and a query, in milliseconds. */
const CALL_TIMEOUT = 2_500
/** Delay of start orders whose answers are lost, in milliseconds. */
const START_DELAY = 1_200
/** Latencies of a call to the log, in milliseconds. */
const NORMAL_CALL_TIME = 4
const SLOW_CALL_TIME = 400
/** Steps of the lasting jobs, by the number of the job. */
const LASTING_STEPS = new Map([
	[1, { count: 4, lasting: true, maximumPerBackend: 1 }],
	[2, { count: 3, lasting: true, maximumPerBackend: 0 }],
	[3, { count: 1, lasting: true, maximumPerBackend: 1 }],
])
const FIRST_SHORT_JOB = 16

/**
 * Runs lasting and short jobs under a series of faults.
 *
 * @param faults - each begins some time after the one before
 * @param options.createEvents - creates the event log of each process, to trace a failure
 * @param options.limit - number of tasks that may run at the same time; no limit by default
 * @returns the problems found: a task that ran twice, a lasting task that stood without a run for too long,
 * and a short job that was accepted and is not completed; with a limit, the starts above it alone
 * @internal
 */
export async function runScenario(
	faults: readonly ScenarioFault[],
	options: ScenarioOptions = {}
): Promise<string[]> {
	return new ScenarioRun(options).run(faults)
}

interface ScenarioOptions {
	readonly createEvents?: (member: string, timers: TimerService) => EventLog
	readonly limit?: number
}

class ScenarioRun {
	private readonly fleet
	private readonly acceptedAt = new Map<string, number>()
	private readonly activeTimes: { readonly from: number; readonly to: number }[] = []
	private readonly gone = new Set<string>()

	/** Begins a fault of a kind. Returns what ends it; undefined if it lasts for a moment only, or for good. */
	private readonly beginners: Readonly<
		Record<ScenarioFault['kind'], (fault: ScenarioFault) => (() => void) | undefined>
	> = {
		'server-gone': (fault) => this.removeServer(fault),
		'server-back': (fault) => this.crashServer(fault),
		'server-cut': (fault) => this.cutServer(fault),
		'server-cut-from-owner': (fault) => this.cutServerFromOwner(fault),
		'server-cut-from-others': (fault) => this.cutServerFromOthers(fault),
		'server-answers-lost': (fault) => this.loseServerAnswers(fault),
		rebalance: () => {
			this.fleet.store.rebalance()
			return undefined
		},
		'owner-stopped': (fault) => this.stop(this.selectOwner(fault)),
		'owner-killed': (fault) => this.kill([this.selectOwner(fault)]),
		'owner-paused': (fault) => this.pause(this.selectOwner(fault)),
		'owner-cut': (fault) => this.cutOwner(fault),
		'owner-answers-lost': (fault) => this.loseLogAnswers(fault),
		'instance-killed': ({ target }) => this.kill([target % INSTANCES]),
		'instance-paused': ({ target }) => this.pause(target % INSTANCES),
		'power-loss': () => this.kill([...this.fleet.instances.keys()]),
		'late-starts': (fault) => this.delayStarts(fault),
		'progress-down': () => this.takeStream('progress'),
		'intake-down': () => {
			const ends = intakeStreams.slice(0, 3).map((stream) => this.takeStream(stream))
			return () => {
				for (const end of ends) end()
			}
		},
		compact: () => {
			this.fleet.store.compact('progress')
			for (const stream of intakeStreams) this.fleet.store.compact(stream)
			return undefined
		},
		'slow-log': (fault) => this.slowLog(fault),
	}

	constructor(private readonly options: ScenarioOptions) {
		const { createEvents, limit = 0 } = options
		this.fleet = createTestFleet({
			instances: INSTANCES,
			backends: BACKENDS,
			statusRetention: Infinity,
			limit: { cpu: limit * MILLICORES_PER_TASK, memory: 0, gpu: 0 },
			...(createEvents && { createEvents }),
		})
	}

	async run(faults: readonly ScenarioFault[]): Promise<string[]> {
		const { fleet } = this
		const { timers } = fleet
		for (const backend of fleet.backends.values())
			backend.getRunDuration = (task) => (isLasting(task) ? undefined : SHORT_RUN)
		await fleet.advance(START_TIME / 2)
		for (const number of LASTING_STEPS.keys()) this.submit(number)
		await fleet.advance(START_TIME / 2)
		let nextShortJob = FIRST_SHORT_JOB
		const submissions = timers.every(SUBMISSION_INTERVAL, () => {
			this.submit(nextShortJob)
			nextShortJob += 1
		})
		for (const fault of faults) {
			await fleet.advance(fault.pause)
			this.inject(fault)
		}
		const calmFrom = Math.max(...this.activeTimes.map(({ to }) => to))
		await fleet.advance(calmFrom - timers.now())
		submissions.cancel()
		await fleet.advance(REST_TIME)
		if (this.options.limit !== undefined) return this.findExcesses()
		const problems = [...fleet.journal.violations, ...this.findAbsences()]
		return [...problems, ...(await this.findIncompleteJobs())]
	}

	private submit(number: number): void {
		const { instances, timers } = this.fleet
		const lasting = LASTING_STEPS.get(number)
		const steps = lasting ? [lasting] : [{ count: 3 }, { count: 2, dependsOn: [0] }]
		const job = createTestFleet.createJob(number, steps)
		const intake = instances[number % INSTANCES]?.daemon.intake
		void intake?.submit(job, timers.now() + CALL_TIMEOUT).then(({ kind }) => {
			if (kind === 'accepted') this.acceptedAt.set(job.id, timers.now())
		})
	}

	/** Finds the starts above the limit. */
	private findExcesses(): string[] {
		const { journal, timers } = this.fleet
		const { limit = Infinity } = this.options
		return findOverloads(journal, undefined, limit, { from: 0, to: timers.now() })
	}

	private findAbsences(): string[] {
		const { journal, timers } = this.fleet
		const problems: string[] = []
		for (const [number, { count }] of LASTING_STEPS) {
			const { id } = createTestFleet.createJob(number, [])
			const acceptedAt = this.acceptedAt.get(id)
			if (acceptedAt === undefined) continue
			for (let index = 0; index < count; index += 1) {
				const task = `${id}.0.0.${index}`
				const runs = journal.getRuns(task)
				const faults = this.activeTimes
				const absences = findAbsences({ runs, faults, acceptedAt, until: timers.now() })
				for (const { from, to } of absences)
					problems.push(`${task} stood without a run from ${from} to ${to}`)
			}
		}
		return problems
	}

	private async findIncompleteJobs(): Promise<string[]> {
		const { fleet } = this
		const problems: string[] = []
		for (const id of this.acceptedAt.keys()) {
			if (isLasting(id)) continue
			const state = fleet.instances[0]?.daemon.intake.getState(
				id,
				fleet.timers.now() + CALL_TIMEOUT
			)
			await fleet.advance(10)
			const answer = await state
			if (answer?.kind !== 'state' || answer.state !== 'completed')
				problems.push(`${id}: ${JSON.stringify(answer)}`)
		}
		return problems
	}

	private inject(fault: ScenarioFault): void {
		const { timers } = this.fleet
		const now = timers.now()
		const undo = this.beginners[fault.kind](fault)
		if (undo) timers.after(fault.duration, undo)
		this.activeTimes.push({ from: now, to: undo ? now + fault.duration : now })
	}

	private removeServer(fault: ScenarioFault): (() => void) | undefined {
		// Each step keeps as many servers as it needs.
		if (this.gone.size >= MAXIMUM_GONE) return this.crashServer(fault)
		const { timers, store } = this.fleet
		const backend = this.selectBackend(fault)
		backend.crash()
		this.gone.add(backend.id)
		timers.after(REGISTRATION_TIME, () => {
			store.append('backends', [{ key: backend.id, value: undefined }])
		})
		return undefined
	}

	private crashServer(fault: ScenarioFault): () => void {
		const backend = this.selectBackend(fault)
		backend.crash()
		return () => {
			backend.restart()
			this.fleet.register(backend)
		}
	}

	private cutServer(fault: ScenarioFault): () => void {
		const backend = this.selectBackend(fault)
		backend.disconnected = true
		return () => (backend.disconnected = false)
	}

	private cutServerFromOwner(fault: ScenarioFault): () => void {
		const { unreachable } = this.getInstance(this.selectOwner(fault)).backendClient
		const { id } = this.selectBackend(fault)
		unreachable.add(id)
		return () => unreachable.delete(id)
	}

	private cutServerFromOthers(fault: ScenarioFault): () => void {
		const owner = this.getInstance(this.selectOwner(fault))
		const others = this.fleet.instances.filter((instance) => instance !== owner)
		const { id } = this.selectBackend(fault)
		for (const { backendClient } of others) backendClient.unreachable.add(id)
		return () => {
			for (const { backendClient } of others) backendClient.unreachable.delete(id)
		}
	}

	private loseServerAnswers(fault: ScenarioFault): () => void {
		const { silent } = this.getInstance(this.selectOwner(fault)).backendClient
		const { id } = this.selectBackend(fault)
		silent.add(id)
		return () => silent.delete(id)
	}

	private stop(index: number): () => void {
		const instance = this.getInstance(index)
		void instance.daemon.stop()
		return () => {
			if (this.getInstance(index) === instance) this.fleet.restartInstance(index)
		}
	}

	private pause(index: number): () => void {
		const { timers } = this.getInstance(index)
		timers.pause()
		return () => {
			timers.resume()
		}
	}

	private cutOwner(fault: ScenarioFault): () => void {
		const { log } = this.getInstance(this.selectOwner(fault))
		log.disconnected = true
		return () => (log.disconnected = false)
	}

	private loseLogAnswers(fault: ScenarioFault): () => void {
		const { log } = this.getInstance(this.selectOwner(fault))
		log.losesAnswers = true
		return () => (log.losesAnswers = false)
	}

	private delayStarts(fault: ScenarioFault): () => void {
		const { backendClient } = this.getInstance(this.selectOwner(fault))
		backendClient.startDelay = START_DELAY
		return () => (backendClient.startDelay = undefined)
	}

	private slowLog(fault: ScenarioFault): () => void {
		const { log } = this.getInstance(this.selectOwner(fault))
		log.callLatency = SLOW_CALL_TIME
		return () => (log.callLatency = NORMAL_CALL_TIME)
	}

	private takeStream(stream: LogStream): () => void {
		const { unavailableStreams } = this.fleet.store
		unavailableStreams.add(stream)
		return () => unavailableStreams.delete(stream)
	}

	/** Kills instances, which start again later unless another fault has restarted them by then. */
	private kill(indices: readonly number[]): () => void {
		const killed = indices.map((index) => ({ index, instance: this.getInstance(index) }))
		for (const { instance } of killed) instance.timers.kill()
		return () => {
			for (const { index, instance } of killed)
				if (this.getInstance(index) === instance) this.fleet.restartInstance(index)
		}
	}

	/** Selects a server that is not gone for good, those that run lasting tasks first. */
	private selectBackend({ target }: ScenarioFault): MemoryBackend {
		const { backends, journal } = this.fleet
		const busy = journal.running.filter(isLasting).flatMap((task) => {
			const id = journal.getRuns(task).at(-1)?.backend
			return id === undefined ? [] : [id]
		})
		const ids = [...new Set([...busy, ...backends.keys()])].filter((id) => !this.gone.has(id))
		const backend = backends.get(ids[target % ids.length] ?? '')
		if (!backend) throw new Error('no backend server is left')
		return backend
	}

	/** Selects the owner, or any instance while there is none. */
	private selectOwner({ target }: ScenarioFault): number {
		const owner = this.fleet.instances.findIndex(({ daemon }) => daemon.isOwner)
		return owner < 0 ? target % INSTANCES : owner
	}

	private getInstance(index: number): (typeof this.fleet.instances)[number] {
		const instance = this.fleet.instances[index]
		if (!instance) throw new Error(`no instance ${index}`)
		return instance
	}
}

function isLasting(task: string): boolean {
	const [id] = task.split('.')
	return Number.parseInt(id ?? '', 16) < FIRST_SHORT_JOB
}
