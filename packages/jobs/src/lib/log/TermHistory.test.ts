import { describe, expect, it } from 'vitest'
import { TermHistory } from './TermHistory.js'

const FIRST = 1_000
const SECOND = 2_000
/** Time after an owner's latest record by which it has sent its last order, in milliseconds. */
const LATEST_ORDER = 5_100

describe('the time by which an earlier owner has sent its last order', () => {
	it('counts from its latest record', () => {
		const terms = new TermHistory()
		terms.recordBegin(FIRST, 'i1', 0)
		terms.recordSign(700)
		expect(terms.getLatestOrder(SECOND)).toBe(700 + LATEST_ORDER)
		expect(terms.isOver(FIRST, 700 + LATEST_ORDER - 1)).toBe(false)
		expect(terms.isOver(FIRST, 700 + LATEST_ORDER)).toBe(true)
	})

	it('is the record of its end, however long ago that is', () => {
		const terms = new TermHistory()
		terms.recordBegin(FIRST, 'i1', 0)
		terms.recordEnd(FIRST, 300)
		expect(terms.getLatestOrder(SECOND)).toBe(300)
		expect(terms.getTokensOf('i1')).toEqual([])
	})

	it('is the latest one of several owners', () => {
		const terms = new TermHistory()
		terms.recordBegin(FIRST, 'i1', 0)
		terms.recordBegin(SECOND, 'i2', 400)
		terms.recordEnd(SECOND, 900)
		expect(terms.getLatestOrder(3_000)).toBe(LATEST_ORDER)
	})

	// Guards against a late record of an end that ends the next term of the same instance.
	it('is not moved by the end of another term of the same instance', () => {
		const terms = new TermHistory()
		terms.recordBegin(FIRST, 'i1', 0)
		terms.recordBegin(SECOND, 'i1', 400)
		terms.recordEnd(FIRST, 500)
		expect(terms.getLatestOrder(3_000)).toBe(400 + LATEST_ORDER)
		expect(terms.getTokensOf('i1')).toEqual([SECOND])
	})

	it('is the load of the log for terms that it does not name any more', () => {
		const terms = new TermHistory()
		terms.recordLoad(800)
		expect(terms.getLatestOrder(FIRST)).toBe(800)
	})

	// Guards against an owner of the version before, which acts as long as its membership is confirmed.
	it('counts from the takeover if the owner has not recorded its term', () => {
		const terms = new TermHistory()
		terms.recordHeartbeat(FIRST, false, 0)
		expect(terms.isOver(FIRST, 60_000)).toBe(false)
		terms.recordTakeover(60_000)
		expect(terms.getLatestOrder(SECOND)).toBe(60_000 + LATEST_ORDER)
	})
})
