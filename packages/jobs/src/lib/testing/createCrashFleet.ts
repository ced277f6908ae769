import type { JobStep } from '@mastichead/core'
import { createTestFleet } from './createTestFleet.js'
import type { MemoryBackend } from './MemoryBackend.js'

/** Time from the start of a task that crashes its server to the crash, in milliseconds. */
const CRASH_DELAY = 10
/** Usual time from a crash until another process runs on the machine, in milliseconds. */
const RESTART_TIME = 3_200
/** Duration of the runs of tasks that end by themselves, in milliseconds. */
const SHORT_RUN = 600
/** Time that a caller gives a submission or a query, in milliseconds. */
const CALL_TIMEOUT = 2_500
const START_TIME = 1_000

type TestFleet = ReturnType<typeof createTestFleet>

interface CrashFleet {
	readonly fleet: TestFleet
	/** Tasks that crash each backend server that starts them. */
	readonly crashing: Set<string>
	/** Times of the crashes so far, in milliseconds. */
	readonly crashes: number[]
	/** Submits a job of one step. Its number determines the id, which is returned. */
	readonly submit: (number: number, step: Partial<JobStep>) => string
	/** Returns the state of a job as a caller sees it. */
	readonly getState: (id: string) => Promise<string>
	/** Simulates a crash of a backend server that no task is to blame for. */
	readonly crash: (backend: MemoryBackend) => void
	/** Returns the backend server of the latest run of a task. */
	readonly getServer: (task: string) => MemoryBackend
}

/**
 * Creates a fleet in which tasks may crash backend servers, whose machines run other processes some
 * seconds later. Lasting tasks are those of jobs with a number of at least `0x100`.
 *
 * @param restart - `same-id` if the next process on a machine has the id of the one before
 * @internal
 */
export async function createCrashFleet(options: {
	readonly instances: number
	readonly backends: number
	readonly restart?: 'same-id'
	/** Time from a crash until another process runs on the machine, in milliseconds. */
	readonly restartTime?: number
	readonly createEvents?: Parameters<typeof createTestFleet>[0]['createEvents']
}): Promise<CrashFleet> {
	const fleet = createTestFleet({ ...options, statusRetention: Infinity })
	const { timers } = fleet
	const crashing = new Set<string>()
	const crashes: number[] = []
	const crash = (backend: MemoryBackend): void => {
		crashes.push(timers.now())
		backend.exit()
		timers.after(options.restartTime ?? RESTART_TIME, () => {
			if (options.restart === 'same-id') {
				backend.restart()
				fleet.register(backend)
			} else prepare(fleet.replace(backend))
		})
	}
	const prepare = (backend: MemoryBackend): void => {
		const { incarnation } = backend
		backend.getRunDuration = (task) => (isLasting(task) ? undefined : SHORT_RUN)
		backend.onStart = (task) => {
			if (!crashing.has(task)) return
			timers.after(CRASH_DELAY, () => {
				const isSame = options.restart === 'same-id' || backend.incarnation === incarnation
				if (isSame && backend.failure !== 'refused') crash(backend)
			})
		}
	}
	for (const backend of fleet.backends.values()) prepare(backend)
	await fleet.advance(START_TIME)
	const submit = (number: number, step: Partial<JobStep>): string => {
		const job = createTestFleet.createJob(number, [step])
		const instance = fleet.instances.find(({ daemon }) => !daemon.isOwner) ?? fleet.instances[0]
		void instance?.daemon.intake.submit(job, timers.now() + CALL_TIMEOUT)
		return job.id
	}
	const getState = async (id: string): Promise<string> => {
		const answer = fleet.instances[0]?.daemon.intake.getState(id, timers.now() + CALL_TIMEOUT)
		await fleet.advance(20)
		const result = await answer
		return result?.kind === 'state' ? result.state : (result?.kind ?? 'none')
	}
	const getServer = (task: string): MemoryBackend => {
		const backend = fleet.backends.get(fleet.journal.getRuns(task).at(-1)?.backend ?? '')
		if (!backend) throw new Error(`${task} does not run`)
		return backend
	}
	return { fleet, crashing, crashes, submit, getState, crash, getServer }
}

const FIRST_LASTING_JOB = 0x100

function isLasting(task: string): boolean {
	const [id] = task.split('.')
	return Number.parseInt(id ?? '', 16) >= FIRST_LASTING_JOB
}
