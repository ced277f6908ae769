import { expect, it } from 'vitest'
import type { LogRecord } from '../ports/LogRecord.js'
import { createTestFleet } from '../testing/createTestFleet.js'
import type { MemoryLog } from '../testing/MemoryLog.js'

const { createJob } = createTestFleet

// Guards against a task that runs twice in a rolling update that is halted or reverted: an owner of the version
// before renews leases on a server although a record of an owner before it says that they are not renewed.
it('an owner relies on no record of a lost server from before an owner of the version before', async () => {
	const fleet = createTestFleet({ instances: 3, backends: 3 })
	for (const backend of fleet.backends.values()) backend.getRunDuration = () => undefined
	const [first, second, third] = fleet.instances
	if (!first || !second || !third) throw new Error('the fleet has too few instances')
	writeLikeVersionBefore(second.log)
	await fleet.advance(600)
	const job = createJob(1, [{ count: 1, lasting: true }])
	void third.daemon.intake.submit(job, fleet.timers.now() + 2_000)
	await fleet.advance(500)
	expect(first.daemon.isOwner).toBe(true)
	const task = `${job.id}.0.0.0`
	const server = fleet.journal.getRuns(task)[0]?.backend ?? ''
	first.backendClient.unreachable.add(server)
	const hasRecord = (): boolean =>
		fleet.store.getEntries('progress').some(({ key }) => key === `lease/${server}`)
	while (!hasRecord()) await fleet.advance(10)
	fleet.store.rebalance()
	await fleet.advance(7_000)
	expect(second.daemon.isOwner).toBe(true)
	expect(fleet.journal.getRuns(task)).toHaveLength(1)
	third.backendClient.unreachable.add(server)
	fleet.store.rebalance()
	await fleet.advance(12_000)
	expect(third.daemon.isOwner).toBe(true)
	expect(fleet.journal.violations).toEqual([])
})

// Guards against a task that runs twice in a rolling update: an owner of the version before is cut off from the
// log and goes on renewing leases, its successor is replaced, and the owner after it has just been started.
it('an instance that has just been started knows of an owner of the version before that may still act', async () => {
	const fleet = createTestFleet({ instances: 3, backends: 3 })
	for (const backend of fleet.backends.values()) backend.getRunDuration = () => undefined
	const [first, second, third] = fleet.instances
	if (!first || !second || !third) throw new Error('the fleet has too few instances')
	writeLikeVersionBefore(first.log)
	third.log.disconnected = true
	await fleet.advance(600)
	const job = createJob(1, [{ count: 1, lasting: true }])
	void second.daemon.intake.submit(job, fleet.timers.now() + 2_000)
	await fleet.advance(500)
	expect(first.daemon.isOwner).toBe(true)
	const task = `${job.id}.0.0.0`
	const server = fleet.journal.getRuns(task)[0]?.backend ?? ''
	for (const { backendClient } of [second, third]) backendClient.unreachable.add(server)
	first.log.disconnected = true
	const hasTerm = (): boolean =>
		fleet.store.getEntries('progress').some(({ key }) => key.startsWith('term/'))
	while (!hasTerm()) await fleet.advance(10)
	third.log.disconnected = false
	await fleet.advance(600)
	fleet.store.rebalance()
	await fleet.advance(12_000)
	expect(third.daemon.isOwner).toBe(true)
	expect(fleet.journal.violations).toEqual([])
})

/** Makes an instance write its records like the version before, which recorded neither terms nor leases. */
function writeLikeVersionBefore(log: MemoryLog): void {
	const append = log.append.bind(log)
	log.append = async (stream, records, timeout, fence) => {
		if (stream !== 'progress') return append(stream, records, timeout, fence)
		// The version before writes to this stream as the owner only.
		if (!fence) return { kind: 'unknown', reason: 'not written by the version before' }
		return append(stream, records.map(toVersionBefore), timeout, fence)
	}
}

/** Keeps the number of records, from which the instance knows their offsets. */
function toVersionBefore(record: LogRecord): LogRecord {
	const { key, value } = record
	if (key.startsWith('term/') || key.startsWith('lease/'))
		return { key: 'backend/none', value: undefined }
	if (key !== 'owner/heartbeat' || value === undefined) return record
	return { key, value: value.replace(',"isTermRecorded":true', '') }
}
