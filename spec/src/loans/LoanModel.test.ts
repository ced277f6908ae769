import { expect, test } from 'vitest'
import { search } from '../search.js'
import { loanSearches } from './loanSearches.js'
import type { LoanMistake } from './LoanMistake.js'
import { LoanModel } from './LoanModel.js'

test.each<LoanMistake>([
	'lends-without-subtracting',
	'lease-from-answer',
	'reclaim-at-lease-end',
	'late-answer-counts',
	'renewal-not-noted',
])('finds %s', (mistake) => {
	const result = search(new LoanModel(loanSearches.duplicates, mistake))
	expect(result.violation?.invariant).toBe('one-unit-runs-once')
})
