import { createTestFleet } from './createTestFleet.js'

type TestFleet = ReturnType<typeof createTestFleet>

interface LostServerFleet {
	readonly fleet: TestFleet
	/** A lasting task whose server has just been lost, while others have room. */
	readonly task: string
	/** Time of the loss, in milliseconds. */
	readonly lostAt: number
}

/**
 * Creates a fleet of three instances and three backend servers with a job of two lasting tasks, and loses
 * the server of one of them.
 *
 * @internal
 */
export async function createLostServerFleet(): Promise<LostServerFleet> {
	const fleet = createTestFleet({ instances: 3, backends: 3 })
	for (const backend of fleet.backends.values()) backend.getRunDuration = () => undefined
	await fleet.advance(500)
	const job = createTestFleet.createJob(1, [{ count: 2, lasting: true, maximumPerBackend: 1 }])
	const other = fleet.instances.find(({ daemon }) => !daemon.isOwner)
	void other?.daemon.intake.submit(job, fleet.timers.now() + 2_000)
	await fleet.advance(1_000)
	const task = `${job.id}.0.0.0`
	const server = fleet.backends.get(fleet.journal.getRuns(task)[0]?.backend ?? '')
	if (!server) throw new Error('the task does not run')
	server.disconnected = true
	return { fleet, task, lostAt: fleet.timers.now() }
}
