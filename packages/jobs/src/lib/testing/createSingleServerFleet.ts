import { createTestFleet } from './createTestFleet.js'
import type { MemoryBackend } from './MemoryBackend.js'
import type { RunJournal } from './RunJournal.js'

interface SingleServerFleet {
	readonly fleet: ReturnType<typeof createTestFleet>
	readonly backend: MemoryBackend
	/** Submits a job of one step with `count` tasks; its number determines the id. */
	readonly submit: (number: number, count: number) => void
	/** Returns the runs of a task of a job's first step. */
	readonly getRuns: (number: number, index: number) => ReturnType<RunJournal['getRuns']>
}

/**
 * Creates a fleet of one instance and one server, whose tasks run for 400 ms, in which the instance has
 * become the owner.
 *
 * @internal
 */
export async function createSingleServerFleet(): Promise<SingleServerFleet> {
	const fleet = createTestFleet({ instances: 1, backends: 1 })
	const backend = fleet.backends.get('b1')
	if (!backend) throw new Error('no backend server')
	backend.getRunDuration = () => 400
	await fleet.advance(500)
	const submit = (number: number, count: number): void => {
		const job = createTestFleet.createJob(number, [{ count }])
		void fleet.instances[0]?.daemon.intake.submit(job, fleet.timers.now() + 2_000)
	}
	const getRuns: SingleServerFleet['getRuns'] = (number, index) =>
		fleet.journal.getRuns(`${createTestFleet.createJob(number, []).id}.0.0.${index}`)
	return { fleet, backend, submit, getRuns }
}
