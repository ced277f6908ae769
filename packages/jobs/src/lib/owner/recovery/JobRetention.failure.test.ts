import { VirtualTimerService, createTestJob } from '@mastichead/core'
import { expect, it } from 'vitest'
import { JobRecords } from '../../log/JobRecords.js'
import { JobReplica } from '../../log/JobReplica.js'
import { StreamFollower } from '../../log/StreamFollower.js'
import type { IntakeStream } from '../../ports/IntakeStream.js'
import type { LogEntry } from '../../ports/LogEntry.js'
import { intakeStreams } from '../../ports/intakeStreams.js'
import { createTestContext } from '../../testing/createTestContext.js'
import { MemoryLog } from '../../testing/MemoryLog.js'
import { MemoryStore } from '../../testing/MemoryStore.js'
import { JobRetention } from './JobRetention.js'
import { ProgressWriter } from '../terms/ProgressWriter.js'

const RETENTION_TIME = 5_000
/** Instant at which all jobs have been finished for longer than the retention and its margin. */
const NOW = 1_000_000

// Guards against jobs that finish faster than expired ones are dropped, so that the log, the replicas
// and the start of each owner grow without a bound.
it('drops all expired jobs in one run, however many there are', async () => {
	const { retention, store, advance } = await createRetention(1_000)
	void retention.dropExpired()
	await advance(1_000)
	expect(countPresentJobs(store)).toBe(0)
})

// Guards against one stream out of reach that keeps the expired jobs of all other streams.
it('drops the expired jobs of other streams while one stream is out of reach', async () => {
	const { retention, store, advance } = await createRetention(60)
	store.unavailableStreams.add('intake/0')
	void retention.dropExpired()
	await advance(3_000)
	expect(countPresentJobs(store)).toBe(10)
})

// Guards against a finished job that is run again: its progress was dropped while its submission was
// in a stream that had not been read.
it('keeps the progress of jobs whose submissions may be in an unread stream', async () => {
	const { retention, store, advance } = await createRetention(60, 'intake/0')
	void retention.dropExpired()
	await advance(3_000)
	expect(countDroppedProgress(store)).toBe(0)
	store.unavailableStreams.delete('intake/0')
	await advance(3_000)
	void retention.dropExpired()
	await advance(3_000)
	expect([countPresentJobs(store), countDroppedProgress(store)]).toEqual([0, 60])
})

function countDroppedProgress(store: MemoryStore): number {
	return store.getEntries('progress').filter(({ value }) => value === undefined).length
}

function countPresentJobs(store: MemoryStore): number {
	const present = new Set<string>()
	for (const stream of intakeStreams) {
		for (const { key, value } of store.getEntries(stream)) {
			if (value === undefined) present.delete(key)
			else present.add(key)
		}
	}
	return present.size
}

/**
 * Creates the retention of jobs that are spread evenly over the streams.
 *
 * @param unread - stream that does not answer from the start
 */
async function createRetention(jobs: number, unread?: IntakeStream) {
	const timers = new VirtualTimerService()
	const store = new MemoryStore()
	if (unread) store.unavailableStreams.add(unread)
	const log = new MemoryLog(store, timers)
	const context = { ...createTestContext(timers), getWallTime: () => NOW }
	const replica = new JobReplica(context.events, timers)
	const options = { maximumWait: 0, getPollDelay: () => 50 }
	const createFollower = (stream: 'progress' | IntakeStream): StreamFollower => {
		const apply = (entry: LogEntry): void => {
			if (stream === 'progress') replica.applyProgress(entry)
			else replica.applyIntake(entry, stream, follower.loaded)
		}
		const onLoaded = (): void => {
			if (stream !== 'progress') replica.handleIntakeLoaded(stream)
		}
		const followerOptions = { ...options, onLoaded }
		const { events } = context
		const follower = new StreamFollower(stream, log, timers, events, apply, followerOptions)
		return follower
	}
	const intake = intakeStreams.map(createFollower)
	const progress = createFollower('progress')
	const snapshot = { state: 'completed', begun: true, finishedAt: 1, tasks: [] } as const
	for (let number = 0; number < jobs; number += 1) {
		const id = number.toString(16).padStart(16, '0')
		const stream = intakeStreams[number % intakeStreams.length] ?? 'intake/0'
		const job = createTestJob(id, [{ estimate: 300 }], 0)
		store.append(stream, [JobRecords.createJobRecord(job)])
		store.append('progress', [JobRecords.createProgressRecord(id, snapshot)])
	}
	for (const follower of [...intake, progress]) follower.start()
	const advance = async (duration: number): Promise<void> => {
		for (let step = 0; step < duration; step += 1) {
			timers.advance(1)
			await new Promise((resolve) => setImmediate(resolve))
		}
	}
	await advance(100)
	const writer = new ProgressWriter(context, log, progress)
	const getRetentionTime = (): number => RETENTION_TIME
	const retention = new JobRetention(context, { log, writer, replica, intake, getRetentionTime })
	return { retention, store, advance }
}
