import { expect, test } from 'vitest'
import { search } from '../search.js'
import type { OwnershipBug } from './OwnershipBug.js'
import { OwnershipModel } from './OwnershipModel.js'
import { ownershipSearches } from './ownershipSearches.js'

test.each<[OwnershipBug, keyof typeof ownershipSearches, string]>([
	['earlier-leases-ignored', 'an owner replaced', 'no-task-twice-at-once'],
	['suspended-owner-renews', 'an owner replaced', 'no-task-twice-at-once'],
	['started-before-durable', 'an owner replaced', 'no-task-twice-at-once'],
	['slow-clock-ignored', 'calls without an answer', 'no-task-twice-at-once'],
	['lost-before-leases-end', 'calls without an answer', 'no-task-twice-at-once'],
	['unclear-start-forgotten', 'calls without an answer', 'no-task-twice-at-once'],
	['outdated-listing-trusted', 'calls without an answer', 'no-task-twice-at-once'],
	['acknowledged-before-durable', 'ends', 'no-end-lost'],
	['attempt-ignored', 'ends of earlier attempts', 'no-run-after-end'],
	['append-not-fenced', 'ends while a lease runs out', 'recorded-end-stays'],
	['token-not-raised', 'three owners', 'stale-owner-refused'],
	['limit-counts-only-confirmed', 'two tasks, limit 1', 'limit-held'],
])('finds %s', (bug, name, invariant) => {
	const result = search(new OwnershipModel(ownershipSearches[name], bug))
	expect(result.violation?.invariant).toBe(invariant)
})
