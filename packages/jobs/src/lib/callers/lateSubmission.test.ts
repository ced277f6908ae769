import { describe, expect, it } from 'vitest'
import { getHomeStream } from '../intake/getHomeStream.js'
import { JobRecords } from '../log/JobRecords.js'
import { createTestFleet } from '../testing/createTestFleet.js'
import { createTestIntake } from '../testing/createTestIntake.js'

const JOB = createTestFleet.createJob(1, [{ count: 1 }])
const TASK = `${JOB.id}.0.0.0`
/** Time after which the log carries out a submission that it has not answered, in milliseconds. */
const DELAY = 6_000
/** Time in which a job that is not cancelled is started and ends, in milliseconds. */
const RUN_TIME = 2_000
/** Time after which the records of an ended job are gone, in milliseconds; states are kept for 5 s. */
const RETENTION = 60_000

// Guards against a job that runs although its cancelling was acknowledged, because the log carries out its
// submission only afterwards.
describe('a job that is cancelled while its submission is still under way', () => {
	it.each(['intake/0', 'intake/3'] as const)('does not run, on stream %s', async (stream) => {
		const fleet = await createCancelledJob()
		await fleet.advance(DELAY)
		fleet.store.append(stream, [JobRecords.createJobRecord(JOB)])
		await fleet.advance(RUN_TIME)
		expect(fleet.journal.getRuns(TASK)).toEqual([])
		expect(await getState(fleet)).toEqual({ kind: 'state', state: 'cancelled' })
	})

	it('does not run if all instances have started again meanwhile', async () => {
		const fleet = await createCancelledJob()
		for (const index of fleet.instances.keys()) fleet.restartInstance(index)
		await fleet.advance(DELAY)
		fleet.store.append('intake/1', [JobRecords.createJobRecord(JOB)])
		await fleet.advance(RUN_TIME)
		expect(fleet.journal.getRuns(TASK)).toEqual([])
	})

	it('is unknown until its submission is there', async () => {
		const fleet = await createCancelledJob()
		expect(await getState(fleet)).toEqual({ kind: 'unknown-job' })
	})
})

// Guards against an acknowledgement of a cancelling that is nowhere stored.
it('the cancelling of an unknown job is not acknowledged while the log stores nothing', async () => {
	const { intake, log, timers, start, advance } = createTestIntake()
	start()
	await advance(50)
	log.losesAnswers = true
	const answer = intake.cancel(JOB.id, timers.now() + 2_000)
	await advance(2_500)
	expect(await answer).toMatchObject({ kind: 'unclear' })
})

// Guards against records of cancellations that stay in the log for ever.
it('the cancellation of a job that is never submitted is dropped after the retention time', async () => {
	const fleet = await createCancelledJob()
	expect(getNewest(fleet)).toBe('{}')
	await fleet.advance(RETENTION)
	expect(getNewest(fleet)).toBeUndefined()
	expect(fleet.store.getEntries('progress').filter(({ key }) => key === JOB.id)).toEqual([])
	// The id can be used again.
	fleet.store.append('intake/0', [JobRecords.createJobRecord(JOB)])
	await fleet.advance(RUN_TIME)
	expect(fleet.journal.getRuns(TASK)).toHaveLength(1)
})

type TestFleet = ReturnType<typeof createTestFleet>

/** Creates a fleet in which a caller has cancelled the job before any record of it was written. */
async function createCancelledJob(): Promise<TestFleet> {
	const fleet = createTestFleet({ instances: 2, backends: 2 })
	await fleet.advance(1_000)
	const answer = fleet.instances[1]?.daemon.intake.cancel(JOB.id, fleet.timers.now() + 2_000)
	await fleet.advance(200)
	expect(await answer).toEqual({ kind: 'unknown-job' })
	return fleet
}

async function getState(fleet: TestFleet) {
	const answer = fleet.instances[0]?.daemon.intake.getState(JOB.id, fleet.timers.now() + 2_000)
	await fleet.advance(200)
	return answer
}

/** Returns the newest value of the job's cancellation. */
function getNewest({ store }: TestFleet): string | undefined {
	const entries = store.getEntries(getHomeStream(JOB.id))
	return entries.findLast(({ key }) => key.startsWith(`cancellation/${JOB.id}/`))?.value
}
