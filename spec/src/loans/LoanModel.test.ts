import { expect, test } from 'vitest'
import { search } from '../search.js'
import { loanSearches } from './loanSearches.js'
import type { LoanBug } from './LoanBug.js'
import { LoanModel } from './LoanModel.js'
import { LoanReplay } from './LoanReplay.js'

test.each<LoanBug>([
	'lent-unit-not-subtracted',
	'lease-from-answer',
	'reclaim-at-lease-end',
	'late-answer-accepted',
	'renewal-not-recorded',
])('finds %s', (bug) => {
	const result = search(new LoanModel(loanSearches.duplicates, bug))
	expect(result.violation?.invariant).toBe('one-run-per-unit')
})

test('the holders match the model in traces of one loan', () => {
	const model = new LoanModel(loanSearches.duplicates)
	const { samples, violation } = search(model, { sampleEvery: 20 })
	expect(violation).toBeUndefined()
	expect(samples.length).toBeGreaterThan(3000)
	for (const trace of samples) {
		const loanReplay = new LoanReplay(loanSearches.duplicates.copies)
		let state = model.createInitial()
		for (const [index, action] of trace.entries()) {
			state = model.apply(state, action)
			loanReplay.apply(action)
			const isLent = state.lender.loans.some(({ reclaimedAt }) => state.now < reclaimedAt)
			const held = state.borrower.held.map(({ endsAt, runs }) => ({ endsAt, runs: runs.length }))
			const expected = { free: isLent || state.lender.runs.length > 0 ? 0 : 1, held }
			expect(loanReplay.getUsage(), JSON.stringify(trace.slice(0, index + 1))).toEqual(expected)
		}
	}
})
