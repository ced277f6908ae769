import { expect, test } from 'vitest'
import { search } from '../search.js'
import type { LeaseBug } from './LeaseBug.js'
import { LeaseModel } from './LeaseModel.js'
import { leaseSearches } from './leaseSearches.js'

test.each<[LeaseBug, keyof typeof leaseSearches]>([
	['ordered-before-term-durable', 'late acknowledgements and reads'],
	['silence-from-acknowledgement', 'late acknowledgements and reads'],
	['silence-ignored', 'late acknowledgements and reads'],
	['lease-from-arrival', 'late acknowledgements and reads'],
	['lower-token-accepted', 'late acknowledgements and reads'],
	['fence-not-read', 'late acknowledgements and reads'],
	['lease-ignored', 'late acknowledgements and reads'],
	['renewed-before-durable', 'lost and renewed'],
	['append-not-fenced', 'lost and renewed'],
	['only-term-records-dated', 'lost and renewed'],
	['earlier-attempt-written', 'lost and renewed'],
	['ended-while-sending', 'ended terms and new processes'],
	['ended-too-soon', 'ended terms and new processes'],
	['ended-by-follower', 'ended terms and new processes'],
	['deleted-term-ignored', 'ended terms and new processes'],
	['earlier-receipt-kept', 'ended terms read late'],
	['instance-ended', 'three terms, one ended'],
	['inherited-leases-ignored', 'three terms, one lost server'],
])('finds %s', (bug, name) => {
	const result = search(new LeaseModel(leaseSearches[name], bug))
	expect(result.violation?.invariant).toBe('no-task-twice-at-once')
})
