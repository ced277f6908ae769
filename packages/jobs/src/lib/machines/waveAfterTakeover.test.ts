import type { Machine } from '../ports/Machine.js'
import { expect, it } from 'vitest'
import { createTestFleet } from '../testing/createTestFleet.js'

const BACKENDS = 4
/** Time from a change of the owner until a machine without lasting tasks is taken down, in milliseconds. */
const MAXIMUM_DELAY = 1_500
/** Time from a change of the owner in which no lasting task is interrupted, in milliseconds. */
const SETTLING_TIME = 2_500

// Guards against waves that stand still for seconds after each change of the owner, though no lasting task
// runs on their machines.
it('a new owner takes machines without lasting tasks down at once, and the others later', async () => {
	const machines = Array.from({ length: BACKENDS }, (_, index) => createMachine(`b${index + 1}`))
	const fleet = createTestFleet({ instances: 2, backends: BACKENDS, machines })
	for (const backend of fleet.backends.values()) backend.getRunDuration = () => undefined
	await fleet.advance(500)
	const job = createTestFleet.createJob(1, [{ count: 1, lasting: true, mayMiss: 1 }])
	void fleet.instances[0]?.daemon.intake.submit(job, fleet.timers.now() + 2_000)
	await fleet.advance(4_000)
	const occupied = fleet.journal.getRuns(`${job.id}.0.0.0`)[0]?.backend ?? ''
	const wave = {
		number: 1,
		machines: machines.map(({ id }) => id),
		deadlineSeconds: 1,
		parallelism: BACKENDS,
	}
	fleet.store.rebalance()
	fleet.store.append('operator', [{ key: 'wave/1', value: JSON.stringify(wave) }])
	await fleet.advance(300 + MAXIMUM_DELAY)
	expect(getOrdered()).toHaveLength(BACKENDS - 1)
	expect(getOrdered()).not.toContain(`machine-${occupied}`)
	await fleet.advance(SETTLING_TIME + 1_000)
	expect(getOrdered()).toContain(`machine-${occupied}`)

	function getOrdered(): string[] {
		return fleet.machines.orders
			.filter((order) => order.startsWith('maintain'))
			.map((order) => order.split(' ')[1] ?? '')
	}
})

// Guards against more machines down at once than a wave permits, when the earlier owner's last order takes
// effect after the new owner has read the list of machines.
it('a new owner counts an order that the earlier one has just sent', async () => {
	const machines = Array.from({ length: BACKENDS }, (_, index) => createMachine(`b${index + 1}`))
	const fleet = createTestFleet({ instances: 2, backends: BACKENDS, machines })
	const wave = {
		number: 1,
		machines: machines.map(({ id }) => id),
		deadlineSeconds: 1,
		parallelism: 1,
	}
	await fleet.advance(4_000)
	fleet.store.append('operator', [{ key: 'wave/1', value: JSON.stringify(wave) }])
	while (fleet.machines.orders.length === 0) await fleet.advance(10)
	expect(fleet.machines.orders).toHaveLength(1)
	fleet.store.rebalance()
	await fleet.advance(1_400)
	expect(fleet.machines.orders).toHaveLength(1)
	await fleet.advance(10_000)
	expect(fleet.machines.orders.length).toBeGreaterThan(1)
})

function createMachine(backend: string): Machine {
	const capacity = { cpu: 16_000, memory: 64_000, gpu: 0 }
	const id = `machine-${backend}`
	return { id, service: 'desk', state: 'up', zone: 'a', labels: [], capacity, backend }
}
