import { expect, it } from 'vitest'
import { BackendHealth } from './BackendHealth.js'
import { createTestTables } from '../testing/createTestTables.js'

it('avoids a server on which runs of different jobs fail, for a growing time', () => {
	const { backends } = createTestTables({ backends: 6 })
	const health = new BackendHealth(() => backends.all)
	const row = backends.getOrCreate('b1')
	expect(['x', 'x', 'y'].map((job) => health.recordRunFailure(row, job, 0))).toEqual([
		false,
		false,
		true,
	])
	const first = row.avoidedUntil
	for (const job of ['x', 'y']) health.recordRunFailure(row, job, first + 1)
	expect(row.avoidedUntil - (first + 1)).toBeGreaterThan(first)
})

it('does not avoid a server for a single lost answer or for a failure between successful runs', () => {
	const { backends } = createTestTables({ backends: 6 })
	const health = new BackendHealth(() => backends.all)
	const row = backends.getOrCreate('b1')
	expect(health.recordOrderFailure(row, 0)).toBe(false)
	health.recordOrderSuccess('b1')
	expect(health.recordOrderFailure(row, 0)).toBe(false)
	health.recordRunFailure(row, 'x', 0)
	health.recordRunSuccess('b1')
	expect(health.recordRunFailure(row, 'y', 0)).toBe(false)
})

it('avoids at most a share of the servers of a pool', () => {
	const { backends } = createTestTables({ backends: 6 })
	const health = new BackendHealth(() => backends.all)
	for (const row of backends.all) health.recordOrderFailure(row, 0)
	const avoided = [...backends.all].filter((row) => health.recordOrderFailure(row, 0))
	expect(avoided).toHaveLength(2)
})
