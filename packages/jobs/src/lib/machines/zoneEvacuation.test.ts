import { describe, expect, it } from 'vitest'
import { createTestFleet } from '../testing/createTestFleet.js'

const ZONE = 'a'
const OTHER_ZONE = 'b'
/** Time in which an evacuation must be in force, in milliseconds. */
const EVACUATION_TIME = 2_000
const RUN_TIME = 300

describe('an availability zone that is being evacuated', () => {
	it('gets no new task until the evacuation is taken back, also by an owner that begins meanwhile', async () => {
		const { fleet, submit, countStarts, setEvacuated } = await createFixture()
		await submit(20)
		expect(countStarts(ZONE)).toBeGreaterThan(0)
		setEvacuated(true)
		await fleet.advance(EVACUATION_TIME)
		const before = countStarts(ZONE)
		await submit(20)
		expect(countStarts(ZONE)).toBe(before)
		fleet.store.rebalance()
		await fleet.advance(500)
		await submit(20)
		expect(countStarts(ZONE)).toBe(before)
		expect(fleet.journal.running).toHaveLength(0)
		setEvacuated(false)
		await fleet.advance(EVACUATION_TIME)
		await submit(20)
		expect(countStarts(ZONE)).toBeGreaterThan(before)
	})

	// Guards against an owner that acts before it has read every record of the operator.
	it('gets no task from an instance that starts during the evacuation', async () => {
		const { fleet, submit, countStarts, setEvacuated } = await createFixture()
		setEvacuated(true)
		await fleet.advance(EVACUATION_TIME)
		const before = countStarts(ZONE)
		fleet.restartInstance(0)
		fleet.restartInstance(1)
		await fleet.advance(6_000)
		await submit(20)
		expect(countStarts(ZONE)).toBe(before)
		expect(countStarts(OTHER_ZONE)).toBeGreaterThan(0)
	})

	// Guards against an evacuation that never ends, since its removal was not read.
	it('gets tasks again when its evacuation was removed from the history before it was read', async () => {
		const { fleet, submit, countStarts, setEvacuated } = await createFixture()
		setEvacuated(true)
		await fleet.advance(EVACUATION_TIME)
		const before = countStarts(ZONE)
		fleet.store.unavailableStreams.add('operator')
		await fleet.advance(1_000)
		setEvacuated(false)
		fleet.store.compact('operator')
		fleet.store.unavailableStreams.delete('operator')
		await fleet.advance(EVACUATION_TIME)
		await submit(20)
		expect(countStarts(ZONE)).toBeGreaterThan(before)
	})

	it('is left by lasting tasks, as many at a time as may be unavailable, while others have room', async () => {
		const { fleet, setEvacuated } = await createFixture()
		for (const backend of fleet.backends.values()) backend.getRunDuration = () => undefined
		const step = { count: 4, lasting: true, mayMiss: 1, maximumPerBackend: 2 }
		const job = createTestFleet.createJob(900, [step])
		void fleet.instances[0]?.daemon.intake.submit(job, fleet.timers.now() + 2_000)
		await fleet.advance(4_000)
		expect(fleet.journal.running).toHaveLength(4)
		setEvacuated(true)
		let fewest = 4
		for (let round = 0; round < 600; round += 1) {
			await fleet.advance(10)
			fewest = Math.min(fewest, fleet.journal.running.length)
		}
		expect(fewest).toBeGreaterThanOrEqual(3)
		const backends = fleet.journal.running.map(
			(task) => fleet.journal.getRuns(task).at(-1)?.backend
		)
		expect(backends.filter((id) => id === 'b1' || id === 'b2')).toEqual([])
	})
})

/** Creates two instances and four servers, of which `b1` and `b2` are in the zone to evacuate. */
async function createFixture() {
	const fleet = createTestFleet({ instances: 2, backends: 4 })
	const isInZone = (id: string): boolean => id === 'b1' || id === 'b2'
	for (const backend of fleet.backends.values()) {
		backend.getRunDuration = () => RUN_TIME
		fleet.register(backend, { zone: isInZone(backend.id) ? ZONE : OTHER_ZONE })
	}
	await fleet.advance(2_000)
	let jobs = 0
	const taskIds: string[] = []
	const submit = async (count: number): Promise<void> => {
		for (let index = 0; index < count; index += 1) {
			jobs += 1
			const job = createTestFleet.createJob(jobs, [{ count: 1, estimate: RUN_TIME }])
			taskIds.push(`${job.id}.0.0.0`)
			void fleet.instances[0]?.daemon.intake.submit(job, fleet.timers.now() + 2_000)
		}
		await fleet.advance(2_500)
	}
	const countStarts = (zone: string): number =>
		taskIds
			.flatMap((task) => fleet.journal.getRuns(task))
			.filter(({ backend }) => isInZone(backend) === (zone === ZONE)).length
	const setEvacuated = (evacuated: boolean): void => {
		const value = evacuated ? '{}' : undefined
		fleet.store.append('operator', [{ key: `evacuate/${ZONE}`, value }])
	}
	return { fleet, submit, countStarts, setEvacuated }
}
