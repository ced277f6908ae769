import { expect, it } from 'vitest'
import { createSingleServerFleet } from '../testing/createSingleServerFleet.js'

/** Time for which the log takes no placements, in milliseconds. */
const OUTAGE = 3_000

// Guards against a start on a server that has reported that it is draining while the placement waited for
// a slow log.
it('a placement that became durable late is not started on a server that drains by then', async () => {
	const { fleet, backend, submit } = await createSingleServerFleet()
	submit(1, 4)
	await fleet.advance(10)
	fleet.store.unavailableStreams.add('progress')
	fleet.register(backend, { draining: true })
	await fleet.advance(OUTAGE)
	fleet.store.unavailableStreams.delete('progress')
	await fleet.advance(OUTAGE)
	expect(fleet.journal.tasks).toEqual([])
})
