import type { MachineMove } from '@mastichead/core'
import {
	BinPackingScorer,
	DemandMeter,
	LeastSlackPolicy,
	PlacementPlanner,
	PoolPolicy,
	VirtualTimerService,
	createTestConfiguration,
} from '@mastichead/core'
import { describe, expect, it } from 'vitest'
import type { MachineOrderResult } from '../ports/MachineOrderResult.js'
import { createTestContext } from '../testing/createTestContext.js'
import { MemoryMachineController } from '../testing/MemoryMachineController.js'
import { MachineInventory } from './MachineInventory.js'
import { PoolManager } from './PoolManager.js'

// Guards against a process that was paused, or waited for answers, and then orders a machine on which its
// successor runs tasks by then.
describe('an owner that may no longer order machines', () => {
	it('does not repeat an order that got no answer', async () => {
		const { controller, manager, revoke } = createTestManager(['m1'])
		manager.runRound()
		await controller.answer({ kind: 'unknown', detail: 'no answer' })
		expect(controller.orders).toHaveLength(2)
		revoke()
		await controller.answer({ kind: 'unknown', detail: 'no answer' })
		expect(controller.orders).toHaveLength(2)
	})

	// Guards against an order that leaves when the next owner counts on it to have left long ago.
	it('sends none of the orders that have waited for longer than their records are good for', async () => {
		const { controller, manager, timers } = createTestManager(['m1', 'm2', 'm3', 'm4', 'm5', 'm6'])
		manager.runRound()
		await settle()
		const { length } = controller.orders
		timers.advance(1_500)
		for (let order = 0; order < 6; order += 1)
			await controller.answer({ kind: 'unknown', detail: 'no answer' })
		expect(controller.orders).toHaveLength(length)
		expect(length).toBeLessThan(6)
	})

	it('sends none of the orders that still wait for their turn', async () => {
		const { controller, manager, revoke } = createTestManager(['m1', 'm2', 'm3', 'm4', 'm5'])
		manager.runRound()
		await settle()
		const { length } = controller.orders
		revoke()
		for (let order = 0; order < 5; order += 1) await controller.answer({ kind: 'done' })
		expect(controller.orders).toHaveLength(length)
		expect(length).toBeLessThan(5)
	})
})

/** Controller whose orders are answered by the test, in their order. */
class WaitingController extends MemoryMachineController {
	private readonly waiting: ((result: MachineOrderResult) => void)[] = []

	override move(machine: string, service: string, token: number): Promise<MachineOrderResult> {
		void super.move(machine, service, token)
		return new Promise((resolve) => this.waiting.push(resolve))
	}

	/** Answers the oldest order that waits. */
	async answer(result: MachineOrderResult): Promise<void> {
		await settle()
		this.waiting.shift()?.(result)
		await settle()
	}
}

/** Moves the given machines in the first round. */
class SingleRoundPolicy extends PoolPolicy {
	constructor(private machines: readonly string[]) {
		super()
	}

	override plan(): readonly MachineMove[] {
		const moves = this.machines.map((machine) => ({ machine, from: 'desk', to: 'press' }))
		this.machines = []
		return moves
	}

	override getMachineLimit(): undefined {
		return undefined
	}

	override getTargetSize(): number {
		return 0
	}
}

function settle(): Promise<void> {
	return new Promise((resolve) => setImmediate(resolve))
}

function createTestManager(machines: readonly string[]) {
	const timers = new VirtualTimerService()
	let isAllowed = true
	const context = {
		...createTestContext(timers),
		getConfiguration: createTestConfiguration,
		mayOrderMachines: () => isAllowed,
	}
	const controller = new WaitingController()
	const { jobs, backends } = context
	const manager = new PoolManager(context, {
		controller,
		inventory: new MachineInventory(context, controller),
		orders: { record: () => Promise.resolve(true), isSafeToOrder: () => true },
		policy: new SingleRoundPolicy(machines),
		demand: new DemandMeter(),
		planner: new PlacementPlanner(jobs, backends, new LeastSlackPolicy(), new BinPackingScorer()),
		isRegistryFresh: () => true,
		isReserved: () => false,
	})
	const revoke = (): void => {
		isAllowed = false
	}
	return { controller, manager, revoke, timers }
}
