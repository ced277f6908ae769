import { BackendTable, JobTable, VirtualTimerService, createJobRow } from '@mastichead/core'
import { expect, it } from 'vitest'
import { SilentEventLog } from '../logs/SilentEventLog.js'
import { JobMetrics } from '../metrics/JobMetrics.js'
import { createTestFleet } from '../testing/createTestFleet.js'
import { MemoryBackends } from '../testing/MemoryBackends.js'
import { MemoryMachines } from '../testing/MemoryMachines.js'
import { MachineInventory } from './MachineInventory.js'

it('knows the server that runs tasks on a machine after its registration has lapsed', () => {
	const timers = new VirtualTimerService()
	const backends = new BackendTable()
	const inventory = new MachineInventory(
		{
			jobs: new JobTable(),
			backends,
			server: new MemoryBackends(new Map(), timers),
			timers,
			events: new SilentEventLog(),
			metrics: new JobMetrics(),
			token: 1,
			getWallTime: () => 0,
			getConfiguration: () => {
				throw new Error('not needed')
			},
			mayAct: () => true,
			abandon: () => undefined,
		},
		new MemoryMachines()
	)
	const row = backends.use('b1')
	row.machine = 'm1'
	const [task] = createJobRow(createTestFleet.createJob(1, [{ lasting: true }])).tasks
	if (!task) throw new Error('the job has a task')
	task.backend = 'b1'
	backends.occupy(task)
	expect(inventory.getBackend('m1')?.id).toBe('b1')
	backends.release(task)
	expect(inventory.getBackend('m1')).toBeUndefined()
	row.registered = true
	expect(inventory.getBackend('m1')?.id).toBe('b1')
})
