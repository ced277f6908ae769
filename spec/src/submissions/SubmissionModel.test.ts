import { expect, test } from 'vitest'
import { search } from '../search.js'
import type { SubmissionBug } from './SubmissionBug.js'
import { SubmissionModel } from './SubmissionModel.js'
import { submissionSearches } from './submissionSearches.js'

test.each<[SubmissionBug, keyof typeof submissionSearches, string]>([
	['answered-unread', 'two teams', 'one-job'],
	['one-key', 'two teams', 'accepted-is-the-job'],
	['any-stream', 'two teams', 'accepted-is-the-job'],
	['oldest-first', 'a cancellation', 'cancelled-never-starts'],
	['order-ignored', 'a cancellation', 'accepted-is-the-job'],
])('finds %s', (bug, name, invariant) => {
	const result = search(new SubmissionModel(submissionSearches[name], bug))
	expect(result.violation?.invariant).toBe(invariant)
})
