import { describe, expect, it } from 'vitest'
import { createSingleServerFleet } from '../testing/createSingleServerFleet.js'
import { findOverloads } from '../testing/findOverloads.js'

/** Room of the server before and while it is smaller, as a number of tasks. */
const ROOM = 16
const SMALL_ROOM = 5
/** Time after which a smaller room counts, in milliseconds: contact with the log, and a heartbeat. */
const GRACE = 4_500
const SMALL_CAPACITY = { cpu: SMALL_ROOM * 1_000, memory: 64_000, gpu: 0 }
const RUN = 400

// Guards against starts on a server beyond a room that has shrunk while its process goes on.
describe('a server whose room shrinks while it runs', () => {
	it('is not filled beyond it, and is filled again once it has grown', async () => {
		const { fleet, backend, submit } = await createSingleServerFleet()
		const { timers, journal } = fleet
		const changedAt = timers.now() + 1_000
		const load = timers.every(RUN / 2, () => {
			submit(Math.round(timers.now()), ROOM / 2)
		})
		await fleet.advance(1_000)
		fleet.register(backend, { capacity: SMALL_CAPACITY })
		await fleet.advance(10_000)
		load.cancel()
		const smallUntil = timers.now()
		expect(
			findOverloads(journal, 'b1', SMALL_ROOM, { from: changedAt + GRACE, to: smallUntil })
		).toEqual([])
		fleet.register(backend)
		await fleet.advance(GRACE)
		const grown = { from: smallUntil, to: timers.now() }
		expect(findOverloads(journal, 'b1', SMALL_ROOM, grown).length).toBeGreaterThan(0)
		expect(findOverloads(journal, 'b1', ROOM, grown)).toEqual([])
	})

	it('gets no start that was recorded before, once that would be beyond it', async () => {
		const { fleet, backend, submit } = await createSingleServerFleet()
		const [instance] = fleet.instances
		if (!instance) throw new Error('no instance')
		submit(1, ROOM)
		await fleet.advance(10)
		fleet.store.unavailableStreams.add('progress')
		fleet.register(backend, { capacity: SMALL_CAPACITY })
		await fleet.advance(3_000)
		fleet.store.unavailableStreams.delete('progress')
		const from = fleet.timers.now()
		await fleet.advance(3_000)
		const span = { from, to: fleet.timers.now() }
		expect(fleet.journal.tasks.length).toBeGreaterThan(0)
		expect(findOverloads(fleet.journal, 'b1', SMALL_ROOM, span)).toEqual([])
	})
})
