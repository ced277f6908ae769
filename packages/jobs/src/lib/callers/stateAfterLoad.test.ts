import { createTestJob } from '@mastichead/core'
import { expect, it } from 'vitest'
import { JobRecords } from '../log/JobRecords.js'
import { createTestIntake } from '../testing/createTestIntake.js'

const JOB = createTestJob('00000000000000a1', [{ count: 1 }], 0)

// Guards against a count that lacks the jobs accepted while a slow load was going on.
it('counts waiting jobs only once what was written during the load has been read', async () => {
	const { intake, log, store, timers, start, advance } = createTestIntake()
	const old = Array.from({ length: 8 }, (_, n) =>
		JobRecords.createJobRecord(createTestJob(`00000000000000b${n}`, [{ count: 1 }], 0))
	)
	store.append('intake/0', old)
	log.pageSize = 2
	log.transferTime = 1_500
	log.readSize = 2
	start()
	await advance(100)
	const later = Array.from({ length: 40 }, (_, n) =>
		JobRecords.createJobRecord(createTestJob(`00000000000000${10 + n}`, [{ count: 1 }], 0))
	)
	// On no page that is read later: their keys sort before the first page.
	store.append('intake/0', later)
	let answer = intake.countWaitingJobs(JOB.queue)
	const startedAt = timers.now()
	while (answer.kind !== 'waiting' && timers.now() - startedAt < 40_000) {
		await advance(10)
		answer = intake.countWaitingJobs(JOB.queue)
	}
	expect({ answer, after: timers.now() - startedAt }).toMatchObject({
		answer: { kind: 'waiting', count: 48 },
	})
})

// Guards against "queued" for a job whose progress was written while a slow load was going on.
it('does not show a job as queued whose end was written during the load of the progress', async () => {
	const { intake, log, store, timers, start, advance } = createTestIntake()
	store.append('intake/0', [JobRecords.createJobRecord(JOB)])
	const snapshot = { state: 'completed', begun: true, finishedAt: 1, tasks: [] } as const
	store.append(
		'progress',
		Array.from({ length: 8 }, (_, n) =>
			JobRecords.createProgressRecord(`00000000000000b${n}`, snapshot)
		)
	)
	log.pageSize = 2
	log.transferTime = 700
	start()
	await advance(800)
	store.append('progress', [JobRecords.createProgressRecord(JOB.id, snapshot)])
	const seen: unknown[] = []
	while (timers.now() < 12_000) {
		void intake.getState(JOB.id, timers.now() + 2_000).then((answer) => {
			seen.push(answer.kind === 'state' ? `${answer.state} at ${timers.now()}` : answer.kind)
		})
		await advance(100)
	}
	expect(seen.filter((text) => String(text).startsWith('queued'))).toEqual([])
}, 20_000)

// Guards against a state from the first piece of what a query has to catch up with, with time left for the rest.
it('a query reads all pieces that were written before it came, while its time lasts', async () => {
	const { intake, log, store, timers, start, advance } = createTestIntake()
	store.append('intake/0', [JobRecords.createJobRecord(JOB)])
	start()
	await advance(100)
	log.readSize = 3
	const snapshot = { state: 'completed', begun: true, finishedAt: 1, tasks: [] } as const
	const ids = Array.from({ length: 8 }, (_, n) => `00000000000000b${n}`)
	store.append(
		'progress',
		[...ids, JOB.id].map((id) => JobRecords.createProgressRecord(id, snapshot))
	)
	const answer = intake.getState(JOB.id, timers.now() + 2_000)
	await advance(150)
	expect(await answer).toEqual({ kind: 'state', state: 'completed' })
})
