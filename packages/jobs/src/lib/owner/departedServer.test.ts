import { expect, it } from 'vitest'
import { createTestFleet } from '../testing/createTestFleet.js'
import { MemoryEventLog } from '../testing/MemoryEventLog.js'

// Guards against servers that left during a change of the owner and that each later owner takes for
// registered again until it has read the registry.
it('a server that left between two terms is not registered in later ones', async () => {
	const events = new MemoryEventLog()
	const fleet = createTestFleet({ instances: 2, backends: 2, events })
	await fleet.advance(1_000)
	const owner = fleet.instances.find(({ daemon }) => daemon.isOwner)
	if (!owner) throw new Error('there is no owner')
	owner.log.disconnected = true
	fleet.store.append('backends', [{ key: 'b2', value: undefined }])
	await fleet.advance(5_000)
	const successor = fleet.instances.find((instance) => instance !== owner)
	expect(successor?.daemon.isOwner).toBe(true)
	owner.log.disconnected = false
	await fleet.advance(4_000)
	fleet.store.unavailableStreams.add('backends')
	const { length } = events.lines
	fleet.store.rebalance()
	await fleet.advance(2_000)
	const later = events.lines.slice(length)
	expect(later.filter(({ event }) => event === 'owner-begun')).toHaveLength(1)
	const registered = later.filter(({ event }) => event === 'backend-registered')
	expect(registered.map(({ fields }) => fields.backend)).toEqual(['b1'])
})
