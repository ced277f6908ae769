import { expect, test } from 'vitest'
import { VirtualTimerService } from '../time/VirtualTimerService.js'
import type { SlotGrant } from './SlotGrant.js'
import { SlotHolder } from './SlotHolder.js'

const POOL = 'quotes'
const OWNER = 'owner'

function createFixture() {
	const timers = new VirtualTimerService()
	const holder = new SlotHolder('entry-1', timers)
	holder.setOwner(POOL, OWNER)
	const addGrant = (id: string, change: Partial<SlotGrant> = {}, from = OWNER): SlotGrant => {
		const grant: SlotGrant = {
			id,
			instance: 'entry-1',
			pool: POOL,
			server: 'server-1',
			team: 'desk',
			urgency: 'ordinary',
			...change,
		}
		holder.addGrant(grant, from)
		return grant
	}
	const end = (result: 'success' | 'failure', server = 'server-1') =>
		holder.end({ pool: POOL, team: 'desk', server }, result)
	return { timers, holder, addGrant, end }
}

test('a slot is reserved once, by its own team, and not at an excluded backend server', () => {
	const { holder, addGrant } = createFixture()
	addGrant('owner/1')
	expect(holder.reserve(POOL, 'other')).toBeUndefined()
	expect(holder.reserve('elsewhere', 'desk')).toBeUndefined()
	expect(holder.reserve(POOL, 'desk', new Set(['server-1']))).toBeUndefined()
	expect(holder.reserve(POOL, 'desk')).toBe('server-1')
	expect(holder.reserve(POOL, 'desk')).toBeUndefined()
})

test('ignores a repeated grant, and a grant that is not from the owner', () => {
	const { holder, addGrant } = createFixture()
	addGrant('owner/1')
	addGrant('owner/1')
	addGrant('stranger/1', {}, 'stranger')
	expect(holder.countUnused(POOL, 'desk')).toBe(1)
	holder.reserve(POOL, 'desk')
	addGrant('owner/1')
	expect(holder.countUnused(POOL, 'desk')).toBe(0)
})

test('returns unused grants after 50 ms, but not grants in use', () => {
	const { timers, holder, addGrant } = createFixture()
	addGrant('owner/1')
	holder.reserve(POOL, 'desk')
	addGrant('owner/2', { server: 'server-2' })
	timers.advance(49)
	holder.returnUnusedGrants()
	expect(holder.countUnused(POOL, 'desk')).toBe(1)
	expect(holder.hasEnds(POOL)).toBe(false)
	timers.advance(1)
	holder.returnUnusedGrants()
	expect(holder.reserve(POOL, 'desk')).toBeUndefined()
	expect(holder.createReport(POOL, []).ends).toEqual([{ grant: 'owner/2', result: 'unused' }])
	timers.advance(1000)
	holder.returnUnusedGrants()
	expect(holder.hasEnds(POOL)).toBe(false)
})

test('reports the end of each grant exactly once', () => {
	const { holder, addGrant, end } = createFixture()
	addGrant('owner/1')
	addGrant('owner/2')
	holder.reserve(POOL, 'desk')
	holder.reserve(POOL, 'desk')
	expect(end('success')).toBe(true)
	expect(end('failure')).toBe(true)
	expect(end('failure')).toBe(false)
	const ends = [
		{ grant: 'owner/1', result: 'success' },
		{ grant: 'owner/2', result: 'failure' },
	]
	expect(holder.createReport(POOL, []).ends).toEqual(ends)
	expect(holder.createReport(POOL, []).ends).toEqual([])
})

test('reports the grants in use to a new owner once, and no end of a grant that it does not know', () => {
	const { holder, addGrant, end } = createFixture()
	expect(holder.createReport(POOL, []).inUse).toEqual([])
	expect(holder.createReport(POOL, []).inUse).toBeUndefined()
	addGrant('owner/1', { server: 'server-1' })
	const used = addGrant('owner/2', { server: 'server-2' })
	addGrant('owner/3', { server: 'server-3' })
	holder.reserve(POOL, 'desk')
	holder.reserve(POOL, 'desk')
	end('success')
	holder.setOwner(POOL, 'next')
	expect(holder.countUnused(POOL, 'desk')).toBe(0)
	const report = holder.createReport(POOL, [])
	expect(report).toMatchObject({ ends: [], inUse: [used] })
	end('success', 'server-2')
	const next = holder.createReport(POOL, [])
	expect(next.ends).toEqual([{ grant: 'owner/2', result: 'success' }])
	expect(next.inUse).toBeUndefined()
})
