import { createTestConfiguration } from '@mastichead/core'
import { expect, it } from 'vitest'
import { JobRecords } from '../log/JobRecords.js'
import { MemoryEventLog } from '../testing/MemoryEventLog.js'
import { createTestFleet } from '../testing/createTestFleet.js'

const SERVICE = 'ledger'
/** Time in which a server is listed once its service is configured, in milliseconds. */
const MAXIMUM_DELAY = 1_000

// Guards against requests to a server of a service that is not configured, whose entry another writer left.
it('a server is called only once its service is configured', async () => {
	const events = new MemoryEventLog()
	const next = { ...createTestConfiguration(), version: 2, services: new Set(['desk', SERVICE]) }
	const fleet = createTestFleet({ instances: 1, backends: 2, events, nextConfiguration: next })
	const server = fleet.backends.get('b2')
	if (!server) throw new Error('no backend server')
	fleet.register(server, { service: SERVICE })
	await fleet.advance(5_000)
	expect(getListed(events)).toEqual(['b1'])
	fleet.store.append('operator', [{ key: 'config', value: '2' }])
	await fleet.advance(MAXIMUM_DELAY)
	expect(getListed(events)).toEqual(['b1', 'b2'])
})

// Guards against a line for each time that another writer writes its entry again.
it('an unreadable entry is reported once', async () => {
	const events = new MemoryEventLog()
	const fleet = createTestFleet({ instances: 1, backends: 1, events })
	for (let round = 0; round < 5; round += 1) {
		fleet.store.append('backends', [
			{ key: 'x-1', value: '{"kind":"format-error","problem":"odd"}' },
		])
		await fleet.advance(1_000)
	}
	expect(events.get('registration-unreadable')).toEqual([{ backend: 'x-1', problem: 'odd' }])
})

// Guards against an entry that an owner of an earlier version has recorded as a server and that stays one.
it('a server that an earlier owner recorded from an unreadable entry is deregistered', async () => {
	const events = new MemoryEventLog()
	const fleet = createTestFleet({ instances: 1, backends: 1, events })
	const registration = {
		id: 'x-1',
		machine: 'm-x',
		service: 'desk',
		address: 'nowhere',
		zone: 'a',
		labels: [],
		capacity: { cpu: 16_000, memory: 64_000, gpu: 0 },
		draining: false,
		incarnation: 1,
	}
	fleet.store.append('progress', [JobRecords.createBackendRecord(registration)])
	fleet.store.append('backends', [{ key: 'x-1', value: '{"kind":"format-error","problem":"odd"}' }])
	await fleet.advance(2_000)
	expect(events.get('backend-deregistered')).toMatchObject([{ backend: 'x-1' }])
})

function getListed(events: MemoryEventLog): unknown[] {
	return events
		.get('backend-reconciled')
		.map(({ backend }) => backend)
		.sort()
}
