import {
	BinPackingScorer,
	DemandMeter,
	DemandPoolPolicy,
	LeastSlackPolicy,
	PlacementPlanner,
	VirtualTimerService,
	createTestConfiguration,
} from '@mastichead/core'
import { expect, it } from 'vitest'
import { createTestContext } from '../testing/createTestContext.js'
import { MemoryMachineController } from '../testing/MemoryMachineController.js'
import { MachineInventory } from './MachineInventory.js'
import { PoolManager } from './PoolManager.js'

const MACHINES = 4
/** Machines that a pool without demand needs. */
const MINIMUM_MACHINES = 2

// Guards against a pool that seems to have many times its machines after a change of the owner, because
// each server that has left is still registered beside the one that followed it on the machine.
it('counts a machine once while a server that has left is still registered on it', async () => {
	const timers = new VirtualTimerService()
	const context = { ...createTestContext(timers), getConfiguration: createTestConfiguration }
	const capacity = { cpu: 16_000, memory: 64_000, gpu: 0 }
	const machines = Array.from({ length: MACHINES }, (_, index) => {
		const id = `m${index + 1}`
		for (const [name, reconciled] of [
			[`left-${id}`, false],
			[`present-${id}`, true],
		] as const) {
			const row = context.backends.getOrCreate(name)
			Object.assign(row, { machine: id, service: 'desk', capacity, registered: true, reconciled })
		}
		const labels: string[] = []
		const [backend, state] = [`present-${id}`, 'up' as const]
		return { id, service: 'desk', state, zone: 'a', labels, capacity, backend }
	})
	const inventory = new MachineInventory(context, new MemoryMachineController(machines))
	const pools = new PoolManager(context, {
		controller: new MemoryMachineController(machines),
		inventory,
		orders: { record: () => Promise.resolve(true), isSafeToOrder: () => true },
		policy: new DemandPoolPolicy(),
		demand: new DemandMeter(),
		planner: new PlacementPlanner(
			context.jobs,
			context.backends,
			new LeastSlackPolicy(),
			new BinPackingScorer()
		),
		isRegistryFresh: () => true,
		isReserved: () => false,
	})
	await inventory.refresh()
	pools.runRound()
	expect(pools.getSlack('desk')).toBe(MACHINES - MINIMUM_MACHINES)
})
