import { createTestConfiguration } from '@mastichead/core'
import { expect, it } from 'vitest'
import type { Machine } from '../ports/Machine.js'
import { createTestFleet } from '../testing/createTestFleet.js'

const TASKS = 8

// Guards against tasks that run again because their machine was moved while their ends, listed only
// there, were not in the log yet.
it('moves no machine whose ends are not durable', async () => {
	const fleet = createFleetWithSparePool()
	const intake = fleet.instances[0]?.daemon.intake
	if (!intake) throw new Error('the fleet has no instance')
	await fleet.advance(500)
	const job = createTestFleet.createJob(2, [{ count: TASKS, maximumPerBackend: 1, estimate: 600 }])
	void intake.submit(job, fleet.timers.now() + 2_000)
	await fleet.advance(300)
	expect(fleet.journal.running.length).toBeGreaterThan(0)
	const { length } = fleet.machines.orders
	fleet.store.unavailableStreams.add('progress')
	await fleet.advance(7_000)
	expect(fleet.journal.running).toEqual([])
	expect(fleet.machines.orders.slice(length)).toEqual([])
	fleet.store.unavailableStreams.delete('progress')
	await fleet.advance(15_000)
	const counts = Array.from(
		{ length: TASKS },
		(_, index) => fleet.journal.getRuns(`${job.id}.0.0.${index}`).length
	)
	expect(counts).toEqual(Array(TASKS).fill(1))
})

function createFleetWithSparePool(): ReturnType<typeof createTestFleet> {
	const configuration = {
		...createTestConfiguration(),
		services: new Set(['desk', 'rest']),
		spareServices: new Set(['rest']),
	}
	const machines = Array.from({ length: TASKS }, (_, index) => createMachine(`b${index + 1}`))
	const fleet = createTestFleet({ instances: 2, backends: TASKS, machines, configuration })
	for (const backend of fleet.backends.values()) backend.getRunDuration = () => 600
	return fleet
}

function createMachine(backend: string): Machine {
	const capacity = { cpu: 16_000, memory: 64_000, gpu: 0 }
	const id = `machine-${backend}`
	return { id, service: 'desk', state: 'up', zone: 'a', labels: [], capacity, backend }
}
