import { expect, it } from 'vitest'
import { createTestFleet } from '../../testing/createTestFleet.js'

it('drops a finished job on all instances after its retention time and keeps running jobs', async () => {
	const fleet = createTestFleet({ instances: 2, backends: 1 })
	const backend = fleet.backends.get('b1')
	if (backend)
		backend.getRunDuration = (task) => (task.startsWith('0000000000000002') ? undefined : 300)
	await fleet.advance(400)
	const intake = fleet.instances[1]?.daemon.intake
	if (!intake) throw new Error('the fleet has no second instance')
	const jobs = [
		createTestFleet.createJob(1, [{ count: 2 }]),
		createTestFleet.createJob(2, [{ count: 1, lasting: true }]),
	]
	for (const job of jobs) void intake.submit(job, fleet.timers.now() + 2_000)
	await fleet.advance(2_000)
	const before = intake.getState('0000000000000001', fleet.timers.now() + 2_000)
	await fleet.advance(50)
	expect(await before).toEqual({ kind: 'state', state: 'completed' })
	await fleet.advance(50_000)
	const after = [1, 2].map((number) =>
		intake.getState(`000000000000000${number}`, fleet.timers.now() + 2_000)
	)
	await fleet.advance(100)
	expect(await Promise.all(after)).toEqual([
		{ kind: 'unknown-job' },
		{ kind: 'state', state: 'running' },
	])
	const newest = new Map(
		fleet.store.getEntries('progress').map((entry) => [entry.key, entry.value])
	)
	expect(newest.get('0000000000000001')).toBeUndefined()
	expect(fleet.journal.running).toEqual(['0000000000000002.0.0.0'])
})
