import fc from 'fast-check'
import { expect, test } from 'vitest'
import { RetryBudget } from './RetryBudget.js'

test('attempts never exceed 1.1 times the requests', () => {
	fc.assert(
		fc.property(fc.array(fc.boolean(), { maxLength: 2000 }), (steps) => {
			const budget = new RetryBudget()
			let requests = 0
			let retries = 0
			for (const isRequest of steps) {
				if (isRequest) {
					requests++
					budget.addRequest()
				} else if (budget.takeRetry()) retries++
				expect(retries).toBeLessThanOrEqual(requests / 10)
			}
		}),
		{ seed: 7, numRuns: 200 }
	)
})

test('accumulates no more retries than the burst', () => {
	const budget = new RetryBudget({ burst: 2 })
	for (let i = 0; i < 1000; i++) budget.addRequest()
	expect([budget.takeRetry(), budget.takeRetry(), budget.takeRetry()]).toEqual([true, true, false])
})
