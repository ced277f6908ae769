import type { Job, JobStep, Resources } from '@mastichead/core'
import { VirtualTimerService, createTestConfiguration, createTestJob } from '@mastichead/core'
import { JobDaemon } from '../JobDaemon.js'
import { SilentEventLog } from '../logs/SilentEventLog.js'
import { JobMetrics } from '../metrics/JobMetrics.js'
import type { Machine } from '../ports/Machine.js'
import { JsonTestFormat } from './JsonTestFormat.js'
import { MemoryBackend } from './MemoryBackend.js'
import { MemoryBackends } from './MemoryBackends.js'
import { MemoryLog } from './MemoryLog.js'
import { MemoryMachines } from './MemoryMachines.js'
import { MemoryStore } from './MemoryStore.js'
import { PausableTimerService } from './PausableTimerService.js'
import { RunJournal } from './RunJournal.js'

const START_OF_TIME = 1_700_000_000_000
/** Milliseconds for which the state of a job that has ended is told. */
const STATUS_RETENTION = 5_000
/** Turns of the event loop after each millisecond, so that what was resolved is carried on. */
const TURNS_PER_STEP = 2

/**
 * Makes instances, a store and backend servers that share one virtual clock.
 *
 * @internal
 */
export function createTestFleet(options: {
	readonly instances: number
	readonly backends: number
	readonly limit?: Resources
	readonly machines?: Machine[]
}): TestFleet {
	const timers = new VirtualTimerService()
	const store = new MemoryStore()
	const journal = new RunJournal()
	const backends = new Map<string, MemoryBackend>()
	for (let number = 1; number <= options.backends; number += 1) {
		const backend = new MemoryBackend(`b${number}`, timers, journal)
		backends.set(backend.id, backend)
		register(store, backend)
	}
	store.append('operator', [{ key: 'config', value: '1' }])
	const format = new JsonTestFormat(new Map([[1, createTestConfiguration(options.limit)]]))
	const machines = new MemoryMachines(options.machines)
	const instances: TestInstance[] = []
	for (let number = 1; number <= options.instances; number += 1) {
		const own = new PausableTimerService(timers)
		const log = new MemoryLog(store, own)
		const server = new MemoryBackends(backends, own)
		const daemon = new JobDaemon({
			member: `m${number}`,
			log,
			server,
			format,
			operator: machines,
			timers: own,
			events: new SilentEventLog(),
			metrics: new JobMetrics(),
			getWallTime: () => START_OF_TIME + timers.now(),
			getStatusRetention: () => STATUS_RETENTION,
		})
		daemon.start()
		instances.push({ daemon, log, server, timers: own })
	}
	const run = async (duration: number): Promise<void> => {
		for (let step = 0; step < duration; step += 1) {
			timers.advance(1)
			for (const backend of backends.values()) backend.advance()
			for (let turn = 0; turn < TURNS_PER_STEP; turn += 1) {
				await new Promise((resolve) => setImmediate(resolve))
			}
		}
	}
	return { timers, store, journal, backends, machines, instances, run }
}

interface TestInstance {
	readonly daemon: JobDaemon
	readonly log: MemoryLog
	readonly server: MemoryBackends
	/** The instance's own timers, which stand while its process is suspended. */
	readonly timers: PausableTimerService
}

interface TestFleet {
	readonly timers: VirtualTimerService
	readonly store: MemoryStore
	readonly journal: RunJournal
	readonly backends: Map<string, MemoryBackend>
	readonly machines: MemoryMachines
	readonly instances: readonly TestInstance[]
	/** Lets virtual time pass, in milliseconds. */
	run(duration: number): Promise<void>
}

function register(store: MemoryStore, backend: MemoryBackend): void {
	const registration = {
		id: backend.id,
		machine: `machine-${backend.id}`,
		service: 'desk',
		address: `10.0.0.1:${backend.id}`,
		zone: 'a',
		labels: [],
		capacity: { cpu: backend.cores * 1_000, memory: 64_000, gpu: 0 },
		draining: false,
		incarnation: backend.incarnation,
	}
	store.append('backends', [{ key: backend.id, value: JSON.stringify(registration) }])
}

/**
 * Makes a job of the test fleet's queue.
 *
 * @param number - makes the id
 * @internal
 */
createTestFleet.createJob = (number: number, steps: readonly Partial<JobStep>[]): Job =>
	createTestJob(
		number.toString(16).padStart(16, '0'),
		steps.map((step) => ({ estimate: 300, ...step })),
		START_OF_TIME
	)
