import { expect, it } from 'vitest'
import { BackendHealth } from './BackendHealth.js'
import { createTestTables } from './testing/createTestTables.js'

it('sets a server aside that fails what different jobs start there, for a time that grows', () => {
	const { backends } = createTestTables({ backends: 6 })
	const health = new BackendHealth(() => backends.all)
	const row = backends.use('b1')
	expect(['x', 'x', 'y'].map((job) => health.noteFailure(row, job, 0))).toEqual([
		false,
		false,
		true,
	])
	const first = row.avoidedUntil
	for (const job of ['x', 'y']) health.noteFailure(row, job, first + 1)
	expect(row.avoidedUntil - (first + 1)).toBeGreaterThan(first)
})

it('does not hold one lost answer against a server, nor a failure between runs that end well', () => {
	const { backends } = createTestTables({ backends: 6 })
	const health = new BackendHealth(() => backends.all)
	const row = backends.use('b1')
	expect(health.noteTrouble(row, 0)).toBe(false)
	health.noteAnswer('b1')
	expect(health.noteTrouble(row, 0)).toBe(false)
	health.noteFailure(row, 'x', 0)
	health.noteSuccess('b1')
	expect(health.noteFailure(row, 'y', 0)).toBe(false)
})

it('never sets aside more than a share of a pool', () => {
	const { backends } = createTestTables({ backends: 6 })
	const health = new BackendHealth(() => backends.all)
	for (const row of backends.all) health.noteTrouble(row, 0)
	const avoided = [...backends.all].filter((row) => health.noteTrouble(row, 0))
	expect(avoided).toHaveLength(2)
})
