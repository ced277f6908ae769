import fc from 'fast-check'
import { expect, test } from 'vitest'
import { VirtualTimerService } from '../time/VirtualTimerService.js'
import type { RequestId } from './RequestId.js'
import { RequestIdTable } from './RequestIdTable.js'

function createTable(options: { maximumRecords?: number } = {}) {
	const timers = new VirtualTimerService()
	let createdCount = 0
	const createRandom = () => (createdCount++).toString(16).padStart(32, '0')
	const table = new RequestIdTable({ timers, issuer: 'entry-1.a', createRandom, ...options })
	return { timers, table }
}

test('grants an id to one claimant, and again to the same one', () => {
	const { table } = createTable()
	const id = table.issue()
	expect(table.claim(id, 'a')).toEqual({ type: 'first' })
	expect(table.claim(id, 'a')).toEqual({ type: 'first' })
	expect(table.claim(id, 'b')).toEqual({ type: 'running' })
	table.settle(id, 'b', 'ran')
	expect(table.claim(id, 'b')).toEqual({ type: 'running' })
	table.settle(id, 'a', 'ran')
	expect(table.claim(id, 'b')).toEqual({ type: 'settled', verdict: 'ran' })
})

test('after a claim ended as not run, grants another claimant but no late duplicate', () => {
	const { table } = createTable()
	const id = table.issue()
	table.claim(id, 'a')
	table.settle(id, 'a', 'not-run')
	expect(table.claim(id, 'a')).toEqual({ type: 'running' })
	expect(table.claim(id, 'b')).toEqual({ type: 'first' })
})

test('a claim that arrives after its own release is refused', () => {
	const { table } = createTable()
	const id = table.issue()
	table.settle(id, 'a', 'not-run')
	expect(table.claim(id, 'a')).toEqual({ type: 'running' })
	expect(table.claim(id, 'b')).toEqual({ type: 'first' })
})

test('distinguishes expired, foreign and invented ids and grants none of them', () => {
	const { table, timers } = createTable()
	const id = table.issue()
	timers.advance(3_600_000)
	expect(table.claim(id, 'a')).toEqual({ type: 'expired' })
	expect(table.claim('0-0123456789abcdef-entry-1.b', 'a')).toEqual({ type: 'expired' })
	expect(table.claim('zz-0123456789abcdef-entry-1.a', 'a')).toEqual({ type: 'unknown' })
	expect(table.claim(table.createUnrecordedId(), 'a')).toEqual({ type: 'expired' })
	expect(table.claim('nonsense', 'a')).toEqual({ type: 'unknown' })
	expect(table.size).toBe(0)
})

test('at most one claimant of an id runs at a time, and none after one may have run', () => {
	const step = fc.record({
		kind: fc.constantFrom('issue', 'claim', 'settle', 'wait'),
		id: fc.nat(5),
		claimant: fc.constantFrom('a', 'b', 'c', 'd'),
		verdict: fc.constantFrom('not-run' as const, 'may-have-run' as const, 'ran' as const),
	})
	fc.assert(
		fc.property(fc.array(step, { maxLength: 60 }), (steps) => {
			const { table, timers } = createTable({ maximumRecords: 4 })
			const ids: RequestId[] = []
			const holders = new Map<RequestId, string>()
			const finished = new Set<RequestId>()
			for (const { kind, id: index, claimant, verdict } of steps) {
				if (kind === 'issue') ids.push(table.issue())
				if (kind === 'wait') timers.advance(1_000_000)
				const id = ids[index]
				if (id === undefined) continue
				if (kind === 'claim' && table.claim(id, claimant).type === 'first') {
					expect(finished.has(id)).toBe(false)
					expect(holders.get(id) ?? claimant).toBe(claimant)
					holders.set(id, claimant)
				}
				if (kind === 'settle' && holders.get(id) === claimant) {
					table.settle(id, claimant, verdict)
					holders.delete(id)
					if (verdict !== 'not-run') finished.add(id)
				}
				expect(table.size).toBeLessThanOrEqual(4)
			}
		}),
		{ seed: 11, numRuns: 2000 }
	)
})
