import { VirtualTimerService } from '@mastichead/core'
import { expect, it } from 'vitest'
import { JobReplica } from '../log/JobReplica.js'
import { StreamFollower } from '../log/StreamFollower.js'
import { JobMetrics } from '../metrics/JobMetrics.js'
import { intakeStreams } from '../ports/intakeStreams.js'
import type { LogStream } from '../ports/LogStream.js'
import { MemoryEventLog } from '../testing/MemoryEventLog.js'
import { MemoryLog } from '../testing/MemoryLog.js'
import { MemoryStore } from '../testing/MemoryStore.js'
import { IntakeWriter } from './IntakeWriter.js'
import { JobIntake } from './JobIntake.js'

const JOB = '00000000000000a1'

// Guards against a query of which nobody can tell afterwards for which stream it waited.
it('names the streams that could not be read for a query, and how long it waited', async () => {
	const { intake, store, followers, events, advance } = createIntake()
	for (const follower of followers.slice(1)) follower.start()
	await advance(50)
	for (const stream of ['intake/0', 'progress'] as const) store.unavailableStreams.add(stream)
	await advance(50)
	const answer = intake.getState(JOB, 2_000)
	await advance(50)
	expect(await answer).toHaveProperty('kind', 'unavailable')
	expect(events.get('job-not-found')).toEqual([
		{
			job: JOB,
			found: 'unreadable',
			after: expect.any(Number) as number,
			unread: ['intake/0: not loaded', 'progress: unavailable'],
		},
	])
	expect(events.get('job-not-found')[0]?.after).toBeGreaterThan(3)
})

it('names no stream if all were read', async () => {
	const { intake, followers, events, advance } = createIntake()
	for (const follower of followers) follower.start()
	await advance(50)
	const answer = intake.cancel(JOB, 3_000)
	await advance(50)
	expect(await answer).toEqual({ kind: 'unknown-job' })
	expect(events.get('job-not-found')).toMatchObject([{ found: 'unknown', unread: [] }])
})

function createIntake(): {
	intake: JobIntake
	store: MemoryStore
	followers: readonly StreamFollower[]
	events: MemoryEventLog
	advance: (duration: number) => Promise<void>
} {
	const timers = new VirtualTimerService()
	const store = new MemoryStore()
	const log = new MemoryLog(store, timers)
	const events = new MemoryEventLog()
	const options = { maximumWait: 0, getPollDelay: () => 20 }
	const createFollower = (stream: LogStream): StreamFollower =>
		new StreamFollower(stream, log, timers, events, () => undefined, options)
	const progress = createFollower('progress')
	const intakeFollowers = new Map(intakeStreams.map((stream) => [stream, createFollower(stream)]))
	const followers = [...intakeFollowers.values(), progress]
	// A cancellation is stored although its job is unknown.
	const writer = new IntakeWriter(log, timers, events, intakeFollowers, 'm1')
	const replica = new JobReplica(events, timers)
	const metrics = new JobMetrics()
	const streams = [...intakeFollowers.values()]
	const intake = new JobIntake({
		replica,
		writer,
		intake: streams,
		progress,
		events,
		metrics,
		timers,
	})
	const advance = async (duration: number): Promise<void> => {
		for (let step = 0; step < duration; step += 1) {
			timers.advance(1)
			await new Promise((resolve) => setImmediate(resolve))
		}
	}
	return { intake, store, followers, events, advance }
}
