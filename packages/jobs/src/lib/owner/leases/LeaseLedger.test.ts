import { describe, expect, it } from 'vitest'
import { createTestLedger } from '../../testing/createTestLedger.js'

/** Longest time for which a lease holds after the latest order, in milliseconds. */
const LEASE = 4_380
/** Time after an owner's latest record by which it has sent its last order, in milliseconds. */
const LATEST_ORDER = 5_100
const TOLERANCE = 1

describe('the leases on a server that earlier owners used', () => {
	it('have expired once the earlier owner cannot have renewed them for the length of a lease', () => {
		const { ledger, replica, row } = createTestLedger()
		replica.terms.recordBegin(1, 'i1', 0)
		ledger.begin()
		ledger.inherit(row)
		expect(ledger.getExpiry(row)).toBe(LATEST_ORDER + LEASE)
	})

	it('have expired sooner if the earlier term has ended', () => {
		const { ledger, replica, row } = createTestLedger()
		replica.terms.recordBegin(1, 'i1', 0)
		ledger.begin()
		ledger.inherit(row)
		replica.terms.recordEnd(1, 600)
		expect(ledger.getExpiry(row)).toBe(600 + LEASE)
	})

	// Guards against a wait that starts over with each owner.
	it('have expired when the earlier owner expected it, counted from when its record was read', () => {
		const { ledger, replica, row, applyLease } = createTestLedger()
		applyLease({ renewed: false, remaining: 1_000 })
		replica.terms.recordBegin(1, 'i1', 0)
		ledger.begin()
		ledger.inherit(row)
		expect(ledger.getExpiry(row)).toBe(1_020)
		expect(ledger.mayRenew(row)).toBe(false)
	})

	// Guards against a lease of a restarted server that is longer than those that owners request.
	it('hold as long as the earlier owner expected a long lease to hold', () => {
		const { ledger, replica, row, applyLease } = createTestLedger()
		applyLease({ renewed: true, remaining: 20_000 })
		replica.terms.recordBegin(1, 'i1', 0)
		ledger.begin()
		ledger.inherit(row)
		expect(ledger.getExpiry(row)).toBe(20_400)
		expect(ledger.mayRenew(row)).toBe(true)
	})
})

describe('a server that does not answer', () => {
	it('is recorded with the time that its leases may still hold', async () => {
		const { ledger, replica, row, advance } = createTestLedger()
		row.leasesExpireBy = LEASE
		await advance(300)
		ledger.suspend(row)
		await advance(100)
		const recorded = replica.leases.get(row.id)
		expect(recorded?.renewed).toBe(false)
		expect(recorded?.expiresBy).toBeGreaterThanOrEqual(LEASE)
		expect(recorded?.expiresBy).toBeLessThan(LEASE + 200)
	})

	// Guards against a renewal that the next owner does not know of: it would start the task elsewhere.
	it('gets renewals again only once the log says so', async () => {
		const { ledger, replica, row, store, advance } = createTestLedger()
		row.leasesExpireBy = LEASE
		ledger.suspend(row)
		await advance(100)
		store.unavailableStreams.add('progress')
		let isResumed = false
		ledger.resume(row, () => {
			isResumed = true
		})
		await advance(3_000)
		expect([isResumed, ledger.mayRenew(row)]).toEqual([false, false])
		store.unavailableStreams.delete('progress')
		await advance(1_500)
		expect([isResumed, ledger.mayRenew(row)]).toEqual([true, true])
		expect(replica.leases.has(row.id)).toBe(false)
	})

	// Guards against tasks that lapse although their server answers, while the log does not.
	it('gets renewals again at once if the log cannot say yet that they ended', async () => {
		const { ledger, row, store, advance } = createTestLedger()
		store.unavailableStreams.add('progress')
		const other = { ...row, id: 'b2' }
		ledger.suspend(other)
		await advance(100)
		ledger.suspend(row)
		await advance(300)
		let isResumed = false
		ledger.resume(row, () => {
			isResumed = true
		})
		expect([isResumed, ledger.mayRenew(row)]).toEqual([true, true])
		expect(ledger.mayRenew(other)).toBe(false)
	})

	it('stays suspended if it is lost again before the log allows renewals', async () => {
		const { ledger, replica, row, store, advance } = createTestLedger()
		row.leasesExpireBy = LEASE
		ledger.suspend(row)
		await advance(100)
		store.unavailableStreams.add('progress')
		let isResumed = false
		ledger.resume(row, () => {
			isResumed = true
		})
		await advance(500)
		ledger.suspend(row)
		ledger.resume(row, () => {
			isResumed = true
		})
		expect(ledger.mayRenew(row)).toBe(false)
		ledger.suspend(row)
		store.unavailableStreams.delete('progress')
		await advance(2_000)
		expect([isResumed, ledger.mayRenew(row)]).toEqual([false, false])
		expect(replica.leases.get(row.id)?.renewed).toBe(false)
		expect(replica.leases.get(row.id)?.expiresBy).toBeLessThan(LEASE + 200 + TOLERANCE)
	})

	it('is forgotten once it has left', async () => {
		const { ledger, replica, row, advance } = createTestLedger()
		ledger.suspend(row)
		await advance(100)
		ledger.dropUnused(() => false)
		expect(ledger.mayRenew(row)).toBe(false)
		await advance(100)
		expect(replica.leases.has(row.id)).toBe(false)
		expect(ledger.mayRenew(row)).toBe(true)
	})

	// Guards against a process that starts while a server is lost, and waits as long as its first record says.
	it('is recorded again with the time that is left while it does not answer', async () => {
		const { ledger, replica, row, timers, advance } = createTestLedger()
		row.leasesExpireBy = LEASE
		for (let waited = 0; waited < 3_000; waited += 100) {
			ledger.suspend(row)
			await advance(100)
		}
		const recorded = replica.leases.get(row.id)
		expect(recorded?.expiresBy).toBeLessThan(LEASE + 60)
		expect(recorded?.expiresBy).toBeGreaterThanOrEqual(LEASE)
		await advance(2_000)
		ledger.suspend(row)
		await advance(100)
		expect(replica.leases.get(row.id)?.expiresBy).toBeLessThan(timers.now())
	})
})
