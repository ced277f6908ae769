import { IntakeWriter } from '../callers/IntakeWriter.js'
import { JobIntake } from '../callers/JobIntake.js'
import { JobReplica } from '../log/JobReplica.js'
import { StreamFollower } from '../log/StreamFollower.js'
import { SilentEventLog } from '../logs/SilentEventLog.js'
import { intakeStreams } from '../ports/intakeStreams.js'
import { JobMetrics } from '../metrics/JobMetrics.js'
import type { IntakeStream } from '../ports/IntakeStream.js'
import type { LogEntry } from '../ports/LogEntry.js'
import { CountingLog } from './CountingLog.js'
import { CountingTimerService } from './CountingTimerService.js'
import { MemoryStore } from './MemoryStore.js'

/** Options of the followers, in milliseconds; those of an instance that is not the owner. */
const INTAKE_OPTIONS = { maximumWait: 2_000, getPollDelay: () => 1_500 }
const PROGRESS_OPTIONS = { maximumWait: 1_000, getPollDelay: () => 120 }

/**
 * Creates the intake of one instance with its replica and followers, in virtual time. Other
 * instances are simulated by appending to the store.
 *
 * @internal
 */
export function createTestIntake(): TestIntake {
	const timers = new CountingTimerService()
	const store = new MemoryStore()
	const log = new CountingLog(store, timers)
	const events = new SilentEventLog()
	const replica = new JobReplica(events, timers)
	const createIntakeFollower = (stream: IntakeStream): StreamFollower => {
		const apply = (entry: LogEntry): void => {
			replica.applyIntake(entry, stream, follower.loaded)
		}
		const onLoaded = (): void => {
			replica.handleIntakeLoaded(stream)
		}
		const options = { ...INTAKE_OPTIONS, onLoaded }
		const follower = new StreamFollower(stream, log, timers, events, apply, options)
		return follower
	}
	const intakeFollowers = new Map(
		intakeStreams.map((stream) => [stream, createIntakeFollower(stream)])
	)
	const applyProgress = (entry: LogEntry): void => {
		replica.applyProgress(entry)
	}
	const progress = new StreamFollower(
		'progress',
		log,
		timers,
		events,
		applyProgress,
		PROGRESS_OPTIONS
	)
	const followers = [...intakeFollowers.values(), progress]
	const writer = new IntakeWriter(log, timers, events, intakeFollowers, 'm1')
	const intake = new JobIntake({
		replica,
		writer,
		intake: [...intakeFollowers.values()],
		progress,
		events,
		metrics: new JobMetrics(),
		timers,
	})
	return {
		timers,
		store,
		log,
		intake,
		start: () => {
			for (const follower of followers) follower.start()
		},
		advance: async (duration) => {
			for (let step = 0; step < duration; step += 1) {
				timers.advance(1)
				await new Promise((resolve) => setImmediate(resolve))
			}
		},
	}
}

interface TestIntake {
	readonly timers: CountingTimerService
	readonly store: MemoryStore
	readonly log: CountingLog
	readonly intake: JobIntake
	/** Starts the followers. */
	readonly start: () => void
	/** Advances the virtual clock by `duration` milliseconds. */
	readonly advance: (duration: number) => Promise<void>
}
