import { VirtualTimerService, createTestJob } from '@mastichead/core'
import { expect, it } from 'vitest'
import type { ReplicaRow } from '../../log/ReplicaRow.js'
import { MemoryLog } from '../../testing/MemoryLog.js'
import { MemoryStore } from '../../testing/MemoryStore.js'
import { createTestRecovery } from '../../testing/createTestRecovery.js'

const JOBS = 2_000
/** Time that restoring one job takes on the virtual clock, in milliseconds. */
const RESTORE_COST = 1
/** The log removes a member without a heartbeat for 1,200 ms; heartbeats are 300 ms apart. */
const MAXIMUM_PAUSE = 300

// Guards against a new owner that restores its jobs without a pause, loses its membership meanwhile
// for want of heartbeats, and is followed by one that starts over.
it('lets heartbeats through while a new owner restores many jobs', async () => {
	const { recovery, timers, context } = createRecovery()
	const add = context.jobs.add.bind(context.jobs)
	let restored = 0
	context.jobs.add = (...parameters) => {
		restored += 1
		return add(...parameters)
	}
	timers.now = () => restored * RESTORE_COST
	const heartbeats: number[] = []
	let ended = false
	const restoring = recovery.restoreJobs(createRows()).then(() => {
		ended = true
	})
	for (let turn = 0; turn < JOBS && !hasEnded(); turn += 1) {
		heartbeats.push(timers.now())
		timers.advance(1)
		await new Promise((resolve) => setImmediate(resolve))
	}
	await restoring
	expect(restored).toBe(JOBS)
	const pauses = heartbeats.map((at, index) => at - (heartbeats[index - 1] ?? 0))
	expect(Math.max(...pauses, timers.now() - (heartbeats.at(-1) ?? 0))).toBeLessThan(MAXIMUM_PAUSE)

	function hasEnded(): boolean {
		return ended
	}
})

function createRows(): ReplicaRow[] {
	return Array.from({ length: JOBS }, (_, index) => {
		const id = index.toString(16).padStart(16, '0')
		const job = createTestJob(id, [{ estimate: 300 }], 0)
		const cancellation = {
			cancelled: false,
			cancelReadAt: undefined,
			entries: [],
			barriers: [],
		}
		return { id, job, ...cancellation, snapshot: undefined, placements: new Map() }
	})
}

function createRecovery() {
	const timers = new VirtualTimerService()
	const log = new MemoryLog(new MemoryStore(), timers)
	return { timers, ...createTestRecovery(timers, log) }
}
