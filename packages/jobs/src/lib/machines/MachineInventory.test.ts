import { VirtualTimerService, createJobRow } from '@mastichead/core'
import { expect, it } from 'vitest'
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
