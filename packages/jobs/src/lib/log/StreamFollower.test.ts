import { describe, expect, it } from 'vitest'
import type { LogRecord } from '../ports/LogRecord.js'
import { createTestFollower } from '../testing/createTestFollower.js'

const STREAM = 'progress'
const KEYS = ['a', 'b', 'c', 'd', 'e', 'f']

describe('a load in several pages', () => {
	// Failure: each failed page threw away the pages before it.
	it('goes on after a failure from the page that it reached', async () => {
		const { follower, log, advance, state } = createTestFollower()
		follower.start()
		await advance(10)
		log.disconnected = true
		await advance(400)
		expect(follower.loaded).toBe(false)
		expect([...state.keys()]).toEqual(['a', 'b', 'c', 'd'])
		log.disconnected = false
		await advance(200)
		expect(follower.loaded).toBe(true)
		expect([...state.keys()]).toEqual(KEYS)
		expect(log.pageReads).toBe(3)
	})

	// Failure: a query during a load read the same pages beside it, over the same link.
	it('is shared with reads for queries', async () => {
		const { follower, log, advance } = createTestFollower()
		follower.start()
		await advance(2)
		const read = follower.readToEnd()
		await advance(30)
		expect(await read).toBe(true)
		expect(log.pageReads).toBe(3)
	})

	it('does not stand for the end of the stream in a read that began after its first page', async () => {
		const { follower, log, store, advance, state } = createTestFollower({
			pollDelay: 10_000,
			keys: [],
		})
		log.transferTime = 10
		follower.start()
		await advance(6)
		store.append(STREAM, createRecords(1))
		const read = follower.readToEnd()
		await advance(100)
		expect(await read).toBe(true)
		expect(state.size).toBe(1)
	})

	it('is followed at once by the records that were written during it', async () => {
		const { follower, log, store, advance, state } = createTestFollower({ pollDelay: 10_000 })
		follower.start()
		await advance(6)
		store.append(STREAM, [{ key: '0', value: 'new' }])
		await advance(14)
		expect(state.get('0')).toBe('new')
		expect(log.reads).toBe(1)
	})

	// Guards against callers that wait at the log for a new record after the load that they called for.
	it('is complete at once if nothing was written during it', async () => {
		const { follower, advance } = createTestFollower({ pollDelay: 10_000, maximumWait: 2_000 })
		follower.start()
		await advance(50)
		expect(follower.loaded).toBe(true)
	})

	it('takes changes between two pages from the records after the first page', async () => {
		const { follower, store, advance, state } = createTestFollower()
		follower.start()
		await advance(6)
		const deleted = ['a', 'e', 'f'].map((key) => ({ key, value: undefined }))
		store.append(STREAM, [...deleted, { key: 'e', value: 'new' }, { key: '0', value: 'new' }])
		await advance(200)
		expect([...state].sort()).toEqual([
			['0', 'new'],
			['b', 'old'],
			['c', 'old'],
			['d', 'old'],
			['e', 'new'],
		])
	})

	it('does not bring back a key whose deletion was applied while its page was on the way', async () => {
		const { follower, store, advance, state } = createTestFollower()
		follower.start()
		await advance(3)
		const tombstone = { key: 'a', value: undefined }
		follower.applyAppended([{ ...tombstone, offset: KEYS.length }])
		await advance(2)
		store.append(STREAM, [tombstone])
		await advance(200)
		expect(follower.loaded).toBe(true)
		expect(state.has('a')).toBe(false)
	})
})

describe('a follower that is behind', () => {
	it('reads piece by piece without a pause', async () => {
		const { follower, store, log, advance, state } = createTestFollower({ pollDelay: 10_000 })
		follower.start()
		await advance(100)
		log.readSize = 3
		store.append(STREAM, createRecords(12))
		follower.wakeUp()
		await advance(6)
		expect(state.size).toBe(KEYS.length + 3)
		await advance(20)
		expect(state.size).toBe(KEYS.length + 12)
	})

	// Failure: a query read the same records beside the follower, over the same link.
	it('shares its reads with queries', async () => {
		const { follower, store, log, advance, state } = createTestFollower({ pollDelay: 10_000 })
		follower.start()
		await advance(100)
		log.readSize = 3
		store.append(STREAM, createRecords(12))
		const before = log.reads
		follower.wakeUp()
		await advance(6)
		const reads = [follower.readToEnd(), follower.catchUp(50)]
		await advance(30)
		expect(await Promise.all(reads)).toEqual([true, undefined])
		expect(state.size).toBe(KEYS.length + 12)
		expect(log.reads - before).toBeLessThanOrEqual(5)
	})

	// Failure: reads of overlapping parts of a stream filled a narrow link.
	it('reads no part of the stream beside another read of that part', async () => {
		const { follower, store, log, advance, state } = createTestFollower({ pollDelay: 10_000 })
		follower.start()
		await advance(100)
		log.transferTime = 50
		log.readSize = 4
		store.append(STREAM, createRecords(2))
		const reads: Promise<unknown>[] = [follower.catchUp(1_000)]
		await advance(6)
		store.append(STREAM, createRecords(12).slice(2))
		const before = log.reads
		follower.wakeUp()
		await advance(50)
		reads.push(follower.readToEnd())
		await advance(300)
		expect(await Promise.all(reads)).toEqual([undefined, true])
		expect(state.size).toBe(KEYS.length + 12)
		expect(log.reads - before).toBeLessThanOrEqual(5)
	})
})

describe('a load anew after the history has expired', () => {
	it('deletes keys that are on no page, once all pages were read', async () => {
		const { follower, log, store, advance, state } = createTestFollower()
		follower.start()
		await advance(100)
		log.disconnected = true
		await advance(100)
		store.append(STREAM, [{ key: 'b', value: undefined }])
		store.compact(STREAM)
		log.disconnected = false
		while (follower.loaded) await advance(1)
		await advance(9)
		log.disconnected = true
		await advance(400)
		expect(follower.loaded).toBe(false)
		expect(state.has('b')).toBe(true)
		log.disconnected = false
		await advance(300)
		expect(follower.loaded).toBe(true)
		expect([...state.keys()].sort()).toEqual(['a', 'c', 'd', 'e', 'f'])
	})

	it('follows a load whose first page is older than the history', async () => {
		const { follower, log, store, advance, state } = createTestFollower()
		follower.start()
		await advance(6)
		log.disconnected = true
		await advance(100)
		store.append(STREAM, [
			{ key: 'a', value: undefined },
			{ key: 'c', value: 'new' },
		])
		store.compact(STREAM)
		log.disconnected = false
		await advance(500)
		expect(follower.loaded).toBe(true)
		expect(state.has('a')).toBe(false)
		expect(state.get('c')).toBe('new')
	})
})

function createRecords(count: number): LogRecord[] {
	return Array.from({ length: count }, (_, index) => ({ key: `k${index}`, value: 'new' }))
}
