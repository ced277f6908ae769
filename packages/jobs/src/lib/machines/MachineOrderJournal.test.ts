import { VirtualTimerService } from '@mastichead/core'
import { describe, expect, it } from 'vitest'
import { createTestContext } from '../testing/createTestContext.js'
import type { MachineOrder } from './MachineOrder.js'
import { MachineOrderJournal } from './MachineOrderJournal.js'

const WALL_CLOCK_START = 1_700_000_000_000
const OWN_TOKEN = 2
const EARLIER_TOKEN = 1

// Guards against pools that get no machine for seconds after each change of the owner: it did not
// know for which machines the earlier owner had just sent an order.
describe('a new owner whose predecessor recorded its orders', () => {
	it('may order each machine at once, but those that were ordered just before', () => {
		const { journal } = createJournal({
			recent: { token: EARLIER_TOKEN, recordedAt: WALL_CLOCK_START - 500 },
			old: { token: EARLIER_TOKEN, recordedAt: WALL_CLOCK_START - 8_000 },
			own: { token: OWN_TOKEN, recordedAt: WALL_CLOCK_START },
		})
		expect(journal.isSafeToOrder('untouched')).toBe(true)
		expect(journal.isSafeToOrder('old')).toBe(true)
		expect(journal.isSafeToOrder('own')).toBe(true)
		expect(journal.isSafeToOrder('recent')).toBe(false)
	})

	it('may order every machine once the takeover is long ago', () => {
		const { journal, timers } = createJournal({
			recent: { token: EARLIER_TOKEN, recordedAt: WALL_CLOCK_START - 500 },
		})
		timers.advance(3_200)
		expect(journal.isSafeToOrder('recent')).toBe(true)
	})
})

it('lets a new owner order nothing at first if the earlier one recorded no orders', () => {
	const { journal, timers } = createJournal({}, false)
	expect(journal.isSafeToOrder('untouched')).toBe(false)
	timers.advance(3_200)
	expect(journal.isSafeToOrder('untouched')).toBe(true)
})

describe('an order', () => {
	it('may be sent once it is durable', async () => {
		const { journal, durable } = createJournal({})
		const answer = journal.record(['m1'])
		expect(durable).toHaveLength(1)
		durable[0]?.()
		expect(await answer).toBe(true)
	})

	it('is given up if it does not become durable in time', async () => {
		const { journal, timers } = createJournal({})
		const answer = journal.record(['m1'])
		timers.advance(1_001)
		expect(await answer).toBe(false)
	})

	// Guards against an owner that sends an order after its membership has run out.
	it('is given up if the owner may no longer order machines by then', async () => {
		const { journal, durable, revoke } = createJournal({})
		const answer = journal.record(['m1'])
		revoke()
		durable[0]?.()
		expect(await answer).toBe(false)
	})
})

/** Creates the journal of a new term, with the given recorded orders by machine. */
function createJournal(orders: Readonly<Record<string, MachineOrder>>, recordsOrders = true) {
	const timers = new VirtualTimerService()
	let mayOrder = true
	const context = {
		...createTestContext(timers),
		token: OWN_TOKEN,
		getWallTime: () => WALL_CLOCK_START + timers.now(),
		mayOrderMachines: () => mayOrder,
	}
	const durable: (() => void)[] = []
	const writer = {
		markRecordChanged: () => undefined,
		whenRecordDurable: (_key: string, callback: () => void) => durable.push(callback),
	}
	const revoke = (): void => {
		mayOrder = false
	}
	const getOrder = (machine: string): MachineOrder | undefined => orders[machine]
	const journal = new MachineOrderJournal(context, writer, getOrder, recordsOrders)
	return { journal, timers, durable, revoke }
}
