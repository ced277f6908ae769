import { expect, it } from 'vitest'
import { createTestFollower } from '../testing/createTestFollower.js'

const STREAM = 'progress'

// Guards against a new owner that does not know the end of a task, and starts it again, because its
// follower skipped records that another owner wrote around one of its own.
it('still reads what others appended before and after a record of its own', async () => {
	const { follower, store, state, advance } = createTestFollower({ pollDelay: 10_000 })
	follower.start()
	await advance(100)
	store.append(STREAM, [{ key: 'before', value: 'other' }])
	const own = { key: 'own', value: 'mine' }
	const result = store.append(STREAM, [own])
	store.append(STREAM, [{ key: 'after', value: 'other' }])
	if (result.kind !== 'appended') throw new Error('the append was refused')
	follower.applyAppended([{ ...own, offset: result.offset }])
	expect(state.get('own')).toBe('mine')
	void follower.readToEnd()
	await advance(50)
	expect([state.get('before'), state.get('after')]).toEqual(['other', 'other'])
})

it('reads a record of its own that follows what was read no more', async () => {
	const { follower, log, store, advance } = createTestFollower({ pollDelay: 10_000 })
	follower.start()
	await advance(100)
	const own = { key: 'own', value: 'mine' }
	const result = store.append(STREAM, [own])
	if (result.kind !== 'appended') throw new Error('the append was refused')
	follower.applyAppended([{ ...own, offset: result.offset }])
	expect(follower.nextOffset).toBe(store.getEnd(STREAM))
	expect(log.reads).toBeGreaterThan(0)
})
