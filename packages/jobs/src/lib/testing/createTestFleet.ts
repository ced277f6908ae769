import type { FleetConfiguration, Job, JobStep, Resources, TimerService } from '@mastichead/core'
import { VirtualTimerService, createTestConfiguration, createTestJob } from '@mastichead/core'
import { JobDaemon } from '../JobDaemon.js'
import type { EventLog } from '../logs/EventLog.js'
import { SilentEventLog } from '../logs/SilentEventLog.js'
import { JobMetrics } from '../metrics/JobMetrics.js'
import type { BackendRegistration } from '../ports/BackendRegistration.js'
import type { Machine } from '../ports/Machine.js'
import { JsonTestFormat } from './JsonTestFormat.js'
import { MemoryBackend } from './MemoryBackend.js'
import { MemoryBackendServerClient } from './MemoryBackendServerClient.js'
import { MemoryLog } from './MemoryLog.js'
import { MemoryMachineController } from './MemoryMachineController.js'
import { MemoryStore } from './MemoryStore.js'
import { PausableTimerService } from './PausableTimerService.js'
import { RunJournal } from './RunJournal.js'

const WALL_CLOCK_START = 1_700_000_000_000
/** Milliseconds for which the state of an ended job is kept by default. */
const STATUS_RETENTION = 5_000
/** Turns of the event loop after each millisecond, so that resolved promises are processed. */
const EVENT_LOOP_TURNS_PER_STEP = 2

/**
 * Creates instances, a store and backend servers that share one virtual clock.
 *
 * @internal
 */
export function createTestFleet(options: {
	readonly instances: number
	readonly backends: number
	/** Prefix of the ids of the backend servers; their numbers follow. */
	readonly backendPrefix?: string
	readonly limit?: Resources
	/** Number of instances, the first ones, that are not preferred as owners; none by default. */
	readonly standbys?: number
	readonly configuration?: FleetConfiguration
	/** Configuration that comes into force when `2` is written as the operator's configuration. */
	readonly nextConfiguration?: FleetConfiguration
	readonly machines?: Machine[]
	readonly events?: EventLog
	/** Creates the event log of each process, instead of one that all share. */
	readonly createEvents?: (member: string, timers: TimerService) => EventLog
	readonly metrics?: JobMetrics
	/** Milliseconds for which the state of an ended job is kept. */
	readonly statusRetention?: number
}): TestFleet {
	const timers = new VirtualTimerService()
	const store = new MemoryStore()
	const journal = new RunJournal()
	const backends = new Map<string, MemoryBackend>()
	const backendPrefix = options.backendPrefix ?? 'b'
	for (let number = 1; number <= options.backends; number += 1) {
		const backend = new MemoryBackend(`${backendPrefix}${number}`, timers, journal)
		backends.set(backend.id, backend)
		registerBackend(store, backend)
	}
	store.append('operator', [{ key: 'config', value: '1' }])
	const configuration = options.configuration ?? createTestConfiguration(options.limit)
	const configurations = new Map([[1, configuration]])
	if (options.nextConfiguration) configurations.set(2, options.nextConfiguration)
	const format = new JsonTestFormat(configurations)
	const machines = new MemoryMachineController(options.machines)
	const instances: TestInstance[] = []
	/** Number of starts; it names each process differently. */
	let starts = 0
	const startInstance = (index: number): void => {
		starts += 1
		const instanceTimers = new PausableTimerService(timers)
		const log = new MemoryLog(store, instanceTimers)
		const backendClient = new MemoryBackendServerClient(backends, instanceTimers, timers)
		const member = `m${starts}`
		const events = options.createEvents?.(member, timers) ?? options.events
		const daemon = new JobDaemon({
			member,
			instance: `i${index + 1}`,
			isPreferredOwner: index >= (options.standbys ?? 0),
			log,
			backendClient,
			format,
			machineController: machines,
			timers: instanceTimers,
			events: events ?? new SilentEventLog(),
			metrics: options.metrics ?? new JobMetrics(),
			getWallTime: () => WALL_CLOCK_START + timers.now(),
			getStatusRetention: () => options.statusRetention ?? STATUS_RETENTION,
		})
		daemon.start()
		instances[index] = { daemon, log, backendClient, timers: instanceTimers }
	}
	for (let index = 0; index < options.instances; index += 1) startInstance(index)
	const restartInstance = (index: number): void => {
		instances[index]?.timers.kill()
		startInstance(index)
	}
	const register = (backend: MemoryBackend, change?: Partial<BackendRegistration>): void => {
		registerBackend(store, backend, change)
	}
	const replace = (backend: MemoryBackend): MemoryBackend => {
		const { machine, cores, incarnation } = backend
		const successor = new MemoryBackend(`${backend.id}+`, timers, journal, cores, machine)
		successor.incarnation = incarnation + 1
		successor.getRunDuration = backend.getRunDuration
		successor.onStart = backend.onStart
		backend.replaced = true
		backends.set(successor.id, successor)
		store.append('backends', [{ key: backend.id, value: undefined }])
		registerBackend(store, successor)
		return successor
	}
	const advance = async (duration: number): Promise<void> => {
		for (let step = 0; step < duration; step += 1) {
			timers.advance(1)
			for (const backend of backends.values()) backend.advance()
			for (let turn = 0; turn < EVENT_LOOP_TURNS_PER_STEP; turn += 1) {
				await new Promise((resolve) => setImmediate(resolve))
			}
		}
	}
	return {
		timers,
		store,
		journal,
		backends,
		machines,
		instances,
		advance,
		restartInstance,
		register,
		replace,
	}
}

interface TestInstance {
	readonly daemon: JobDaemon
	readonly log: MemoryLog
	readonly backendClient: MemoryBackendServerClient
	/** Timers of the instance; pausing them simulates a suspended process. */
	readonly timers: PausableTimerService
}

interface TestFleet {
	readonly timers: VirtualTimerService
	readonly store: MemoryStore
	readonly journal: RunJournal
	readonly backends: Map<string, MemoryBackend>
	readonly machines: MemoryMachineController
	readonly instances: readonly TestInstance[]
	/** Advances the virtual clock by `duration` milliseconds. */
	advance(duration: number): Promise<void>
	/** Replaces an instance by a new process, which knows nothing of the one before. */
	restartInstance(index: number): void
	/** Writes a backend server's registration again, as after its restart or with a change. */
	register(backend: MemoryBackend, change?: Partial<BackendRegistration>): void
	/** Starts another process, with another id, on the machine of one that has ended. */
	replace(backend: MemoryBackend): MemoryBackend
}

function registerBackend(
	store: MemoryStore,
	backend: MemoryBackend,
	change: Partial<BackendRegistration> = {}
): void {
	const registration: BackendRegistration = {
		id: backend.id,
		machine: backend.machine,
		service: 'desk',
		address: `10.0.0.1:${backend.machine}`,
		zone: 'a',
		labels: [],
		capacity: { cpu: backend.cores * 1_000, memory: 64_000, gpu: 0 },
		draining: false,
		incarnation: backend.incarnation,
		...change,
	}
	store.append('backends', [{ key: backend.id, value: JSON.stringify(registration) }])
}

/**
 * Creates a job in the queue of the test fleet.
 *
 * @param number - determines the id
 * @internal
 */
createTestFleet.createJob = (number: number, steps: readonly Partial<JobStep>[]): Job =>
	createTestJob(
		number.toString(16).padStart(16, '0'),
		steps.map((step) => ({ estimate: 300, ...step })),
		WALL_CLOCK_START
	)
