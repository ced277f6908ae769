import { VirtualTimerService, createTestJob } from '@mastichead/core'
import { expect, it } from 'vitest'
import { createTestContext } from '../../testing/createTestContext.js'
import { CrashTracker } from './CrashTracker.js'

const INCARNATION = 1

// Guards against a task that is given up for crashes which a run may have caused whose job the owner has not read.
it.each([
	{ unreadRuns: 0, suspicion: 'sole' },
	{ unreadRuns: 1, suspicion: 'shared' },
])('a task on a server with $unreadRuns unread runs is a $suspicion suspect', (example) => {
	const { crashes, row, task, backends } = createCrashedServer()
	for (let place = 0; place < example.unreadRuns; place += 1)
		backends.addUnreadRun({
			job: 'unread',
			place,
			backend: row.id,
			recordedAt: -Infinity,
			use: undefined,
		})
	crashes.handleProcessEnd(row, INCARNATION, 'test', [task])
	expect(task.crashSuspicion).toBe(example.suspicion)
})

/** Creates a server that has just begun the only task of a job when its process ends. */
function createCrashedServer() {
	const context = createTestContext(new VirtualTimerService())
	const crashes = new CrashTracker(context, {
		getMachineOrder: () => undefined,
		onProcessEnd: () => undefined,
		updateJob: () => undefined,
	})
	const [task] = context.jobs.add(createTestJob('a', [{}])).tasks
	if (!task) throw new Error('the job has no task')
	const row = context.backends.getOrCreate('b1')
	Object.assign(task, { phase: 'placed', backend: row.id, orderState: 'confirmed', startedAt: 0 })
	context.backends.assign(task)
	return { crashes, row, task, backends: context.backends }
}
