import { expect, it } from 'vitest'
import { createTestLedger } from '../../testing/createTestLedger.js'

// Guards against a long lease of a restarted server that the next owner forgets with its first listing.
it('a long lease holds as long as the earlier owner expected it, also after the first listing', () => {
	const { ledger, replica, row, applyLease } = createTestLedger()
	applyLease({ renewed: true, remaining: 10_000 })
	replica.terms.recordBegin(1, 'i1', 0)
	ledger.begin()
	ledger.inherit(row)
	ledger.handleReconciled(row)
	expect(ledger.getExpiry(row)).toBeGreaterThanOrEqual(10_000)
})
