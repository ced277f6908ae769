import { expect, test } from 'vitest'
import { Fold } from '../fold/Fold.js'
import type { Proposal } from '../log/Proposal.js'
import { VirtualTimerService } from '../time/VirtualTimerService.js'
import { AllowanceHolder } from './AllowanceHolder.js'
import { allowanceTerms } from './allowanceTerms.js'
import { createAllowanceSimulation } from './createAllowanceSimulation.js'
import { isTeamWithinLimit } from './isTeamWithinLimit.js'

const TEAM = 'quotes'

function createFixture(limit: number) {
	const fold = new Fold()
	const timers = new VirtualTimerService()
	fold.state.teams.set(TEAM, { name: TEAM, share: 1, limit })
	fold.state.runBounds = [{ runMilliseconds: 30_000 }]
	const holders: AllowanceHolder[] = []
	const append = (proposal: Proposal) => {
		const at = timers.now()
		const decision = fold.apply({ offset: fold.state.offset + 1, at, proposal })
		for (const holder of holders) holder.observe(fold.state)
		return decision
	}
	const heartbeat = (holder: AllowanceHolder) => {
		const id = `${holder.instance}/${timers.now()}`
		holder.trackRenewal(id)
		return append({ kind: 'heartbeat', id, instance: holder.instance })
	}
	const join = (instance: string) => {
		const holder = new AllowanceHolder(instance, timers)
		holders.push(holder)
		const where = { availabilityZone: 'a', peerAddress: '127.0.0.1:1' }
		holder.trackRenewal(`${instance}/join`)
		append({ kind: 'join', id: `${instance}/join`, instance, ...where })
		return holder
	}
	const change = (holder: AllowanceHolder, delta: number) => {
		const proposal = holder.createProposal([{ team: TEAM, delta }])
		if (proposal) append(proposal)
		return proposal
	}
	const count = (instance: string) => fold.state.members.get(instance)?.allowances.get(TEAM) ?? 0
	return { fold, timers, append, heartbeat, join, change, count }
}

function startAll(holder: AllowanceHolder) {
	const units = []
	for (let unit = holder.tryAcquire(TEAM); unit; unit = holder.tryAcquire(TEAM)) units.push(unit)
	return units
}

test('grants an increase only up to the limit, and more after a release', () => {
	const { join, change, count } = createFixture(10)
	const [a, b] = [join('a'), join('b')]
	change(a, 7)
	change(b, 7)
	expect([count('a'), count('b')]).toEqual([7, 3])
	expect(startAll(a)).toHaveLength(7)
	expect(change(a, -3)).toBeUndefined()
	change(b, -2)
	change(a, 5)
	expect([count('a'), count('b')]).toEqual([9, 1])
})

test('a late duplicate of a decrease or increase changes nothing', () => {
	const { join, change, append, count } = createFixture(10)
	const a = join('a')
	const first = change(a, 6)
	const second = change(a, -2)
	change(a, 1)
	for (const proposal of [first, second]) {
		if (proposal) append({ ...proposal, id: `${proposal.id}/again` })
	}
	expect(count('a')).toBe(5)
})

test('a decrease whose decision is lost counts until a later proposal is seen in the log', () => {
	const { join, change, count } = createFixture(10)
	const a = join('a')
	change(a, 6)
	a.createProposal([{ team: TEAM, delta: -4 }])
	expect(a.getUsableUnits(TEAM)).toBe(2)
	change(a, 1)
	expect(a.getUsableUnits(TEAM)).toBe(count('a'))
})

test('keeps the floor after the lease and nothing after the floor lease; the fold frees both later', () => {
	const { fold, timers, join, change, heartbeat, count } = createFixture(10)
	const [a, b] = [join('a'), join('b')]
	change(a, 9)
	timers.advance(allowanceTerms.lease)
	expect(a.getUsableUnits(TEAM)).toBe(4)
	heartbeat(b)
	expect(count('a')).toBe(9)
	timers.advance(41_000)
	heartbeat(b)
	expect(count('a')).toBe(4)
	timers.advance(allowanceTerms.floorLease)
	expect(a.getUsableUnits(TEAM)).toBe(0)
	heartbeat(b)
	expect(fold.state.members.has('a')).toBe(false)
	expect(a.isStopped).toBe(true)
	expect(heartbeat(a)?.type).toBe('rejected')
})

test('a heartbeat after a lapse renews only the floor', () => {
	const { timers, join, change, heartbeat } = createFixture(10)
	const a = join('a')
	change(a, 9)
	timers.advance(allowanceTerms.lease + 41_000)
	heartbeat(a)
	expect(a.getUsableUnits(TEAM)).toBe(4)
	change(a, 9)
	expect(a.getUsableUnits(TEAM)).toBe(10)
})

test('grants nothing under a lowered limit until the sum is below it', () => {
	const { fold, join, change, count } = createFixture(10)
	const [a, b] = [join('a'), join('b')]
	change(a, 10)
	fold.state.teams.set(TEAM, { name: TEAM, share: 1, limit: 4 })
	expect(isTeamWithinLimit(fold.state, TEAM)).toBe(false)
	change(b, 1)
	change(a, -6)
	expect([count('a'), count('b')]).toEqual([4, 0])
	expect(isTeamWithinLimit(fold.state, TEAM)).toBe(true)
})

test('a loan is subtracted from the lender until no request can run on it', () => {
	const { timers, join, change, heartbeat } = createFixture(10)
	const [a, b] = [join('a'), join('b')]
	change(a, 10)
	const request = b.borrower.createRequest('a', TEAM, 4)
	const requestedAt = timers.now()
	b.borrower.handleReply(request, a.lend(request), requestedAt)
	expect([startAll(a).length, startAll(b).length]).toEqual([6, 4])
	const lost = b.borrower.createRequest('a', TEAM, 1)
	expect(a.lend(lost).amount).toBe(0)
	timers.advance(allowanceTerms.loanLease)
	expect(b.tryAcquire(TEAM)).toBeUndefined()
	a.expireLoans()
	expect(a.getUsableUnits(TEAM)).toBe(6)
	timers.advance(41_000)
	heartbeat(a)
	a.expireLoans()
	expect(a.getUsableUnits(TEAM)).toBe(10)
})

test('a reply after the borrower abandoned the request lends nothing', () => {
	const { join, change } = createFixture(10)
	const [a, b] = [join('a'), join('b')]
	change(a, 10)
	const request = b.borrower.createRequest('a', TEAM, 4)
	const reply = a.lend(request)
	b.borrower.abandon(request)
	for (const loanReturn of b.borrower.getPendingReturns()) {
		a.acceptReturn(loanReturn)
		b.borrower.confirmReturn(loanReturn)
	}
	b.borrower.handleReply(request, reply, 0)
	expect(b.tryAcquire(TEAM)).toBeUndefined()
	expect(a.lend(request).amount).toBe(0)
	expect(a.getUsableUnits(TEAM)).toBe(10)
})

test('a member whose clock is 1% slow stops using its floor in time', () => {
	const simulation = createAllowanceSimulation({
		rates: [0.99],
		limits: [8],
		runMilliseconds: 30_000,
	})
	simulation.deliverAll()
	for (let round = 0; round < 3; round++) {
		simulation.read(0, Infinity)
		simulation.tick(0, 8)
		simulation.deliverAll()
	}
	simulation.read(0, Infinity)
	simulation.advance(3_500_000)
	simulation.start(0, 0, 1, 0)
	expect(simulation.started.count).toBe(1)
	simulation.advance(130_000)
	simulation.start(0, 0, 1, 0)
	expect(simulation.started.count).toBe(1)
})

test('near the end of its lease, lends only what it may use until the end of the loan', () => {
	const { timers, join, change, heartbeat } = createFixture(10)
	const [a, b] = [join('a'), join('b')]
	change(a, 9)
	timers.advance(110_000)
	heartbeat(b)
	expect(a.getUsableUnits(TEAM)).toBe(9)
	expect(a.lend(b.borrower.createRequest('a', TEAM, 9)).amount).toBe(4)
})
