import { createTestJob } from '@mastichead/core'
import { expect, it } from 'vitest'
import { JobRecords } from '../log/JobRecords.js'
import { createTestIntake } from '../testing/createTestIntake.js'
import type { JobAnswer } from './JobAnswer.js'

const JOB = createTestJob('00000000000000a1', [{ count: 1 }], 0)
const READ_TIME = 50

// Guards against one read of the progress stream for each query, and timers that outlive the queries.
it('many queries share the read that brings the state of known jobs up to date, and leave no timers behind', async () => {
	const { intake, log, store, timers, start, advance } = createTestIntake()
	store.append('intake/0', [JobRecords.createJobRecord(JOB)])
	start()
	await advance(READ_TIME)
	log.readCounts.clear()
	const pendingBefore = timers.pendingCount
	const answers = collect(
		Array.from({ length: 300 }, () => intake.getState(JOB.id, timers.now() + 2_000))
	)
	await advance(READ_TIME)
	expect(answers).toHaveLength(300)
	expect(log.readCounts.get('progress')).toBeLessThanOrEqual(2)
	expect(timers.pendingCount).toBe(pendingBefore)
})

// Guards against an answer from a read that looked before the query came, and so missed what was written by then.
it('a query that comes during a read of the progress is answered from a later read', async () => {
	const { intake, log, store, timers, start, advance } = createTestIntake()
	store.append('intake/0', [JobRecords.createJobRecord(JOB)])
	start()
	await advance(READ_TIME)
	log.answerTime = 20
	const first = collect([intake.getState(JOB.id, timers.now() + 2_000)])
	await advance(10)
	const snapshot = { state: 'completed', begun: true, finishedAt: 1, tasks: [] } as const
	store.append('progress', [JobRecords.createProgressRecord(JOB.id, snapshot)])
	const second = collect([intake.getState(JOB.id, timers.now() + 2_000)])
	await advance(READ_TIME)
	expect(first).toEqual([{ kind: 'state', state: 'queued' }])
	expect(second).toEqual([{ kind: 'state', state: 'completed' }])
})

/** Returns the answers that have come so far. */
function collect(promises: readonly Promise<JobAnswer>[]): JobAnswer[] {
	const answers: JobAnswer[] = []
	for (const promise of promises) void promise.then((answer) => answers.push(answer))
	return answers
}
