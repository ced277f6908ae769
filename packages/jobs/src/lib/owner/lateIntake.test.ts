import { describe, expect, it } from 'vitest'
import { getHomeStream } from '../intake/getHomeStream.js'
import { createTestFleet } from '../testing/createTestFleet.js'
import { LeaseTiming } from './leases/LeaseTiming.js'

const JOB_NUMBER = 1
/** Stream of the job's submission. */
const STREAM = getHomeStream(createTestFleet.createJob(JOB_NUMBER, []).id)
/** Time in which a placement is recorded and its start order sent, in milliseconds. */
const PLACEMENT_TIME = 60
/** Time after which the registration of a silent server is removed, in milliseconds. */
const REGISTRATION_TIME = 4_500
const DURATION = 1_000
/** Time from when the stream can be read again until the task has run elsewhere, in milliseconds. */
const MAXIMUM_DELAY = 3_000 + DURATION
/**
 * Time from the loss of a server until its task has run elsewhere, in milliseconds: the silence in which an
 * owner may still send a start order, the longest lease of that, the calls until the restart, and the run.
 */
const MAXIMUM_ABSENCE =
	LeaseTiming.getLatestStartExpiry(LeaseTiming.getLatestOrder(0)) + 500 + DURATION

// Guards against a job that is `running` for ever with nothing running: a new owner reads it only after it has
// begun, and does not look at the server on which the owner before it placed the task.
describe('a job that a new owner reads late', () => {
	it.each([3_000, 6_500, 25_000])(
		'runs elsewhere if its server was lost %i ms before',
		async (outage) => {
			const { fleet, task, endOwner } = await createUnreadJob()
			const [run] = fleet.journal.getRuns(task)
			const server = fleet.backends.get(run?.backend ?? '')
			if (!server) throw new Error('the task was not started')
			server.disconnected = true
			endOwner()
			await fleet.advance(Math.min(outage, REGISTRATION_TIME))
			if (outage >= REGISTRATION_TIME) {
				fleet.store.append('backends', [{ key: server.id, value: undefined }])
				await fleet.advance(outage - REGISTRATION_TIME)
			}
			await readAgain(fleet)
			await fleet.advance(Math.max(0, MAXIMUM_ABSENCE - outage - MAXIMUM_DELAY))
			expect(await getState(fleet, task)).toBe('completed')
			expect(fleet.journal.violations).toEqual([])
		}
	)

	it('runs if its server has never got the start order', async () => {
		const { fleet, task, endOwner } = await createUnreadJob({ isOrderLost: true })
		endOwner()
		await fleet.advance(6_500)
		expect(fleet.journal.getRuns(task)).toEqual([])
		await readAgain(fleet)
		expect(fleet.journal.getRuns(task)).toHaveLength(1)
		expect(await getState(fleet, task)).toBe('completed')
		expect(fleet.journal.violations).toEqual([])
	})

	it('is completed if its task has ended on its server meanwhile', async () => {
		const { fleet, task, endOwner } = await createUnreadJob()
		endOwner()
		await fleet.advance(6_500)
		await readAgain(fleet)
		expect(fleet.journal.getRuns(task)).toHaveLength(1)
		expect(await getState(fleet, task)).toBe('completed')
	})
})

type TestFleet = ReturnType<typeof createTestFleet>

/**
 * Creates a fleet in which the owner has placed the task of a job that the other instance has not read, and
 * cannot read any more.
 *
 * @param options.isOrderLost - whether the start order reaches no server
 */
async function createUnreadJob({ isOrderLost = false } = {}) {
	const fleet = createTestFleet({ instances: 2, backends: 3 })
	for (const backend of fleet.backends.values()) backend.getRunDuration = () => DURATION
	await fleet.advance(1_000)
	const owner = fleet.instances.find(({ daemon }) => daemon.isOwner)
	if (!owner || owner === fleet.instances[1]) throw new Error('the first instance is not the owner')
	if (isOrderLost) owner.backendClient.startDelay = 1_000_000
	const job = createTestFleet.createJob(JOB_NUMBER, [{ count: 1, estimate: DURATION }])
	void owner.daemon.intake.submit(job, fleet.timers.now() + 2_000)
	await fleet.advance(PLACEMENT_TIME)
	fleet.store.unavailableStreams.add(STREAM)
	const endOwner = (): void => {
		owner.timers.kill()
	}
	return { fleet, task: `${job.id}.0.0.0`, endOwner }
}

async function readAgain(fleet: TestFleet): Promise<void> {
	fleet.store.unavailableStreams.delete(STREAM)
	await fleet.advance(MAXIMUM_DELAY)
}

/** Returns the state of a task's job, as the instance that lives answers it. */
async function getState(fleet: TestFleet, task: string) {
	const answer = fleet.instances[1]?.daemon.intake.getState(task.slice(0, 16), Infinity)
	await fleet.advance(100)
	const settled = await answer
	return settled?.kind === 'state' ? settled.state : settled?.kind
}
