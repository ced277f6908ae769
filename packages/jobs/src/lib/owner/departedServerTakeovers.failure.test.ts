import { expect, it } from 'vitest'
import { createTestFleet } from '../testing/createTestFleet.js'
import { MemoryEventLog } from '../testing/MemoryEventLog.js'

/** Intervals between two changes of the owner, in milliseconds. */
const INTERVALS = [2_000, 3_000, 8_000]
/** Time from the start of each term in which the registry cannot be read, in milliseconds. */
const OUTAGE = 700
/** Time in which a server that left is deregistered, in milliseconds. */
const DEREGISTRATION_TIME = 16_000

// Guards against a server that left and is taken for registered by each new owner, because the time for it to
// register anew after an outage started over with each change of the owner.
it.each(INTERVALS)(
	'a server that left is deregistered although the log is lost and the owner changes every %i ms',
	async (interval) => {
		const events = new MemoryEventLog()
		const fleet = createTestFleet({ instances: 3, backends: 3, events })
		await fleet.advance(3_000)
		fleet.store.unavailableStreams.add('backends')
		fleet.store.append('backends', [{ key: 'b2', value: undefined }])
		const end = fleet.timers.now() + DEREGISTRATION_TIME
		while (fleet.timers.now() < end) {
			fleet.store.unavailableStreams.add('backends')
			fleet.store.rebalance()
			await fleet.advance(OUTAGE)
			fleet.store.unavailableStreams.delete('backends')
			await fleet.advance(interval - OUTAGE)
		}
		const { length } = events.get('backend-registered')
		fleet.store.rebalance()
		await fleet.advance(interval)
		const registered = events.get('backend-registered').slice(length)
		expect(registered.map(({ backend }) => backend)).toEqual(['b1', 'b3'])
		expect(new Set(events.get('backend-deregistered').map(({ backend }) => backend))).toEqual(
			new Set(['b2'])
		)
	}
)
