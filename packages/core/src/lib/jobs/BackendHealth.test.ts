import { expect, it } from 'vitest'
import { BackendHealth } from './BackendHealth.js'
import { createTestTables } from './testing/createTestTables.js'

it('sets a server aside that fails all it starts, for a time that grows', () => {
	const { backends } = createTestTables({ backends: 6 })
	const health = new BackendHealth(() => backends.all)
	const row = backends.use('b1')
	const results = [1, 2, 3].map(() => health.noteFailure(row, 0))
	expect(results).toEqual([false, false, true])
	const first = row.avoidedUntil
	for (let count = 0; count < 3; count += 1) health.noteFailure(row, first + 1)
	expect(row.avoidedUntil - (first + 1)).toBeGreaterThan(first)
})

it('never sets aside more than a share of a pool', () => {
	const { backends } = createTestTables({ backends: 6 })
	const health = new BackendHealth(() => backends.all)
	const avoided = [...backends.all].filter((row) => health.noteTrouble(row, 0))
	expect(avoided).toHaveLength(2)
})
