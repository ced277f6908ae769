import { VirtualTimerService, createJobRow } from '@mastichead/core'
import { expect, it } from 'vitest'
import type { Machine } from '../ports/Machine.js'
import { createTestContext } from '../testing/createTestContext.js'
import { createTestFleet } from '../testing/createTestFleet.js'
import { MemoryMachineController } from '../testing/MemoryMachineController.js'
import { MachineInventory } from './MachineInventory.js'

it('finds the server that still runs tasks on a machine after its registration has expired', () => {
	const context = createTestContext(new VirtualTimerService())
	const { backends } = context
	const inventory = new MachineInventory(context, new MemoryMachineController())
	const row = backends.getOrCreate('b1')
	row.machine = 'm1'
	const [task] = createJobRow(createTestFleet.createJob(1, [{ lasting: true }])).tasks
	if (!task) throw new Error('the job has a task')
	task.backend = 'b1'
	backends.assign(task)
	expect(inventory.getBackend('m1')?.id).toBe('b1')
	backends.release(task)
	expect(inventory.getBackend('m1')).toBeUndefined()
	row.registered = true
	expect(inventory.getBackend('m1')?.id).toBe('b1')
})

// Guards against orders that end the tasks of a machine because the server that had left it, which runs
// nothing, was taken for the one on it: both are registered for seconds after a change of the owner.
it('finds the server that answers beside one that has left but is still registered', () => {
	const context = createTestContext(new VirtualTimerService())
	const { backends } = context
	const inventory = new MachineInventory(context, new MemoryMachineController())
	const [left, present] = ['b1', 'b2'].map((id) =>
		Object.assign(backends.getOrCreate(id), { machine: 'm1', registered: true, reachable: true })
	)
	if (!left || !present) throw new Error('the table has two rows')
	present.reconciled = true
	expect(inventory.getBackend('m1')).toBe(present)
	Object.assign(left, { reconciled: true, reachable: false })
	expect(inventory.getBackend('m1')).toBe(present)
})

it('finds the server that the platform names on a machine while none has answered', async () => {
	const context = createTestContext(new VirtualTimerService())
	const machine = createMachine('m1', 'b2')
	const inventory = new MachineInventory(context, new MemoryMachineController([machine]))
	for (const id of ['b1', 'b2', 'b3'])
		Object.assign(context.backends.getOrCreate(id), { machine: 'm1', registered: true })
	await inventory.refresh()
	expect(inventory.getBackend('m1')?.id).toBe('b2')
})

// Guards against a pool that waits for ever for a machine whose move has failed at the platform.
it('counts a machine as moving for a limited time from when its move became known', async () => {
	const timers = new VirtualTimerService()
	const context = createTestContext(timers)
	const moving = { ...createMachine('m1', ''), state: 'moving' as const }
	const inventory = new MachineInventory(context, new MemoryMachineController([moving]))
	const countMoving = (): number => inventory.countMoving('desk', 4_000, () => true)
	await inventory.refresh()
	expect(countMoving()).toBe(1)
	timers.advance(3_000)
	await inventory.refresh()
	expect(countMoving()).toBe(1)
	timers.advance(1_001)
	await inventory.refresh()
	expect(countMoving()).toBe(0)
	inventory.recordStateChange('m1', { service: 'desk', state: 'up' })
	inventory.recordStateChange('m1', { service: 'desk', state: 'moving' })
	expect(countMoving()).toBe(1)
})

function createMachine(id: string, backend: string): Machine {
	const capacity = { cpu: 16_000, memory: 64_000, gpu: 0 }
	return { id, service: 'desk', state: 'up', zone: 'a', labels: [], capacity, backend }
}
