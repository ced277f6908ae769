import { expect, it } from 'vitest'
import { createSingleServerFleet } from '../testing/createSingleServerFleet.js'
import { createTestFleet } from '../testing/createTestFleet.js'
import { findOverloads } from '../testing/findOverloads.js'

/** Room of the server, as a number of tasks. */
const ROOM = 16
/** Time that the server takes to stop a run, in milliseconds. */
const STOP_TIME = 4_000

// Guards against starts on a server that is full of runs which nobody wants and which are being stopped.
it('runs that are being stopped count although their tasks are placed elsewhere, or nowhere', async () => {
	const { fleet, backend, submit } = await createSingleServerFleet()
	const { journal, timers } = fleet
	submit(1, 12)
	await fleet.advance(1_500)
	backend.getRunDuration = () => undefined
	backend.stopTime = STOP_TIME
	submit(2, 1)
	await fleet.advance(200)
	const { id } = createTestFleet.createJob(1, [])
	for (let index = 0; index < 12; index += 1) backend.begin(`${id}.0.0.${index}`, 7)
	await fleet.advance(1_000)
	const from = timers.now()
	expect(journal.running.length).toBe(13)
	submit(3, ROOM)
	await fleet.advance(2_000)
	expect(findOverloads(journal, 'b1', ROOM, { from, to: timers.now() })).toEqual([])
	await fleet.advance(10_000)
	expect(backend.stoppingRuns).toBe(0)
	const waiting = createTestFleet.createJob(3, []).id
	expect(journal.running.filter((task) => task.startsWith(waiting))).toHaveLength(15)
})
