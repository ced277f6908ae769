import * as fc from 'fast-check'
import { assert, expect, test } from 'vitest'
import type { Urgency } from '../fleet/Urgency.js'
import { computeMaxMinShares } from '../scheduling/computeMaxMinShares.js'
import { VirtualTimerService } from '../time/VirtualTimerService.js'
import type { SlotDemand } from './SlotDemand.js'
import type { SlotEnd } from './SlotEnd.js'
import type { SlotGrant } from './SlotGrant.js'
import { SlotOwner } from './SlotOwner.js'

const POOL = 'quotes'
const SEED = 20_261_203
const INSTANCES = ['entry-1', 'entry-2', 'entry-3'] as const

interface Server {
	readonly name: string
	readonly availabilityZone: string
	readonly slots: number
}

function createServers(count: number, slots: number): Server[] {
	return Array.from({ length: count }, (_, index) => ({
		name: `server-${index + 1}`,
		availabilityZone: `zone-${(index % 2) + 1}`,
		slots,
	}))
}

function createDemand(change: Partial<SlotDemand> = {}): SlotDemand {
	return { team: 'desk', urgency: 'ordinary', count: 1, oldestAge: 0, ...change }
}

/** An owner, and the grants that the entry instances hold. */
class Fixture {
	readonly timers = new VirtualTimerService()
	readonly held = new Map<string, SlotGrant>()
	owner: SlotOwner
	private owners = 0

	constructor(
		readonly servers: readonly Server[],
		private readonly shares: ReadonlyMap<string, number> = new Map()
	) {
		this.owner = this.createOwner()
	}

	report(
		demands: readonly SlotDemand[],
		ends: readonly SlotEnd[] = [],
		instance: string = INSTANCES[0]
	): void {
		this.owner.applyReport({ instance, pool: POOL, demands, ends })
	}

	/** Grants the free slots and records the grants as held. */
	grant(): SlotGrant[] {
		const grants = this.owner.grantFreeSlots(POOL)
		for (const grant of grants) {
			assert(!this.held.has(grant.id), `${grant.id} was granted twice`)
			this.held.set(grant.id, grant)
		}
		return grants
	}

	/** Reports a demand and returns the only grant that follows, if any. */
	grantOne(demand = createDemand()): SlotGrant | undefined {
		this.report([demand])
		const [grant, ...others] = this.grant()
		expect(others).toEqual([])
		return grant
	}

	/** Ends a grant; its entry instance reports no demand with it. */
	end({ id, instance }: SlotGrant, result: SlotEnd['result']): void {
		this.held.delete(id)
		this.report([], [{ grant: id, result }], instance)
	}

	removeInstance(instance: string): void {
		this.owner.removeInstance(instance)
		for (const grant of this.getHeld(instance)) this.held.delete(grant.id)
	}

	/** Replaces the owner; each entry instance reports its grants in use to the new one. */
	replaceOwner(): void {
		this.owner = this.createOwner()
		for (const instance of INSTANCES) {
			const inUse = this.getHeld(instance)
			this.owner.applyReport({ instance, pool: POOL, demands: [], ends: [], inUse })
		}
	}

	getHeld(instance?: string): SlotGrant[] {
		const held = [...this.held.values()]
		return instance === undefined ? held : held.filter((grant) => grant.instance === instance)
	}

	countHeld(key: 'server' | 'team', name: string): number {
		return this.getHeld().filter((grant) => grant[key] === name).length
	}

	private createOwner(): SlotOwner {
		return new SlotOwner({
			timers: this.timers,
			instance: `owner-${++this.owners}`,
			getServers: () => this.servers,
			getWeight: (team) => this.shares.get(team) ?? 1,
			getZone: (instance) => (instance === 'entry-2' ? 'zone-2' : 'zone-1'),
		})
	}
}

const demand = fc.record({
	team: fc.constantFrom('desk', 'other', 'third'),
	urgency: fc.constantFrom<Urgency>('urgent', 'ordinary'),
	count: fc.nat(12),
	oldestAge: fc.nat(1000),
})
const instance = fc.constantFrom(...INSTANCES)
const result = fc.constantFrom<SlotEnd['result']>('unused', 'success', 'failure', 'neutral', 'full')
const event = fc.oneof(
	{ weight: 4, arbitrary: fc.record({ type: fc.constant('report'), instance, demand }) },
	{ weight: 8, arbitrary: fc.record({ type: fc.constant('end'), at: fc.nat(1000), result }) },
	{ weight: 3, arbitrary: fc.record({ type: fc.constant('wait'), duration: fc.nat(3000) }) },
	{ weight: 1, arbitrary: fc.record({ type: fc.constant('drop'), instance }) },
	{ weight: 1, arbitrary: fc.record({ type: fc.constant('replace') }) }
)
type Event = typeof event extends fc.Arbitrary<infer Value> ? Value : never

function applyEvent(fixture: Fixture, step: Event): void {
	if ('demand' in step) fixture.report([step.demand], [], step.instance)
	else if ('result' in step) {
		const held = fixture.getHeld()
		const grant = held[step.at % Math.max(1, held.length)]
		if (grant) fixture.end(grant, step.result)
	} else if ('duration' in step) fixture.timers.advance(step.duration)
	else if ('instance' in step) fixture.removeInstance(step.instance)
	else fixture.replaceOwner()
	fixture.grant()
}

test('grants never exceed the slots of a backend server, even when the owner changes', () => {
	const property = fc.property(fc.array(event, { minLength: 20, maxLength: 120 }), (steps) => {
		const fixture = new Fixture(createServers(3, 4))
		for (const step of steps) {
			applyEvent(fixture, step)
			for (const { name, slots } of fixture.servers) {
				expect(fixture.countHeld('server', name)).toBeLessThanOrEqual(slots)
			}
			for (const team of ['desk', 'other', 'third']) {
				expect(fixture.owner.countRunning(POOL, team)).toBe(fixture.countHeld('team', team))
			}
		}
	})
	fc.assert(property, { seed: SEED, numRuns: 300 })
})

test('grants all free slots while requests wait', () => {
	const fixture = new Fixture(createServers(3, 4))
	fixture.report([createDemand({ count: 7 })])
	fixture.report([createDemand({ team: 'other', count: 20 })], [], 'entry-2')
	expect(fixture.grant()).toHaveLength(12)
	expect([fixture.countHeld('team', 'desk'), fixture.countHeld('team', 'other')]).toEqual([6, 6])
	expect(fixture.grant()).toEqual([])
})

/** Average number of running requests by team, with requests of every team always waiting. */
function getAverages(shares: ReadonlyMap<string, number>, durations: readonly number[]) {
	const fixture = new Fixture(createServers(4, 4), shares)
	const endsAt = new Map<string, number>()
	const sums = new Map<string, number>()
	const [warmUp, span] = [5000, 20_000]
	for (let at = 0, grantCount = 0; at < warmUp + span; at++) {
		const demands = [...shares.keys()].map((team) => createDemand({ team, count: 20 }))
		for (const name of INSTANCES) {
			const ended = fixture.getHeld(name).filter(({ id }) => (endsAt.get(id) ?? 0) <= at)
			for (const { id } of ended) fixture.held.delete(id)
			const ends = ended.map(({ id }) => ({ grant: id, result: 'success' as const }))
			fixture.report(demands, ends, name)
		}
		for (const { id } of fixture.grant()) {
			endsAt.set(id, at + (durations[grantCount++ % durations.length] ?? 1))
		}
		fixture.timers.advance(1)
		if (at < warmUp) continue
		for (const team of shares.keys()) {
			const running = fixture.owner.countRunning(POOL, team)
			sums.set(team, (sums.get(team) ?? 0) + running / span)
		}
	}
	return sums
}

test('each team runs its weighted max-min share on average while all teams have requests waiting', () => {
	const weights = fc.array(fc.integer({ min: 1, max: 5 }), { minLength: 2, maxLength: 4 })
	const durations = fc.array(fc.integer({ min: 2, max: 80 }), { minLength: 50, maxLength: 50 })
	const property = fc.property(weights, durations, (shareList, durationList) => {
		const shares = new Map(shareList.map((share, index) => [`team-${index}`, share]))
		const demands = new Map([...shares].map(([team, weight]) => [team, { demand: 60, weight }]))
		const expectedShares = computeMaxMinShares(16, demands)
		for (const [team, average] of getAverages(shares, durationList)) {
			expect(Math.abs(average - (expectedShares.get(team) ?? 0)), team).toBeLessThanOrEqual(1)
		}
	})
	fc.assert(property, { seed: SEED, numRuns: 6 })
})

test('grants urgent requests before ordinary ones, but every eighth slot to an ordinary one', () => {
	const fixture = new Fixture(createServers(2, 16))
	fixture.report([createDemand({ count: 50 }), createDemand({ urgency: 'urgent', count: 50 })])
	const urgencies = fixture.grant().map(({ urgency }) => urgency)
	expect(urgencies).toHaveLength(32)
	for (const [index, urgency] of urgencies.entries()) {
		expect(urgency).toBe(index % 8 === 7 ? 'ordinary' : 'urgent')
	}
})

test('within a team and urgency, grants the request that has waited longest first', () => {
	const fixture = new Fixture(createServers(1, 2))
	fixture.report([createDemand({ oldestAge: 30 })], [], 'entry-1')
	fixture.timers.advance(20)
	fixture.report([createDemand({ oldestAge: 60 })], [], 'entry-2')
	fixture.report([createDemand({ oldestAge: 40 })], [], 'entry-3')
	expect(fixture.grant().map((grant) => grant.instance)).toEqual(['entry-2', 'entry-1'])
})

test('prefers backend servers in the zone of the entry instance', () => {
	const fixture = new Fixture(createServers(2, 2))
	fixture.report([createDemand({ count: 3 })], [], 'entry-2')
	const servers = fixture.grant().map(({ server }) => server)
	expect(servers).toEqual(['server-2', 'server-2', 'server-1'])
})

test('a backend server that refused a request gets none for 200 ms', () => {
	const fixture = new Fixture(createServers(1, 8))
	const grant = fixture.grantOne()
	assert(grant)
	fixture.end(grant, 'full')
	expect(fixture.grantOne()).toBeUndefined()
	fixture.timers.advance(199)
	expect(fixture.grantOne()).toBeUndefined()
	fixture.timers.advance(1)
	expect(fixture.grantOne()?.server).toBe('server-1')
})

/** Fails requests at the first of two backend servers until it is ejected. */
function eject(fixture: Fixture): void {
	for (let failure = 0; failure < 5; failure++) {
		fixture.report([createDemand({ count: 8 })])
		fixture.grant()
		const failing = fixture.getHeld().find(({ server }) => server === 'server-1')
		assert(failing)
		for (const grant of fixture.getHeld()) {
			fixture.end(grant, grant === failing ? 'failure' : 'neutral')
		}
	}
}

test('a backend server whose last request failed is used last until one succeeds', () => {
	const fixture = new Fixture(createServers(2, 2))
	const failed = fixture.grantOne()
	assert(failed)
	expect(failed.server).toBe('server-1')
	fixture.end(failed, 'failure')
	fixture.report([createDemand({ count: 3 })])
	const grants = fixture.grant()
	expect(grants.map(({ server }) => server)).toEqual(['server-2', 'server-2', 'server-1'])
	for (const grant of grants) fixture.end(grant, 'success')
	expect(fixture.grantOne()?.server).toBe('server-1')
})

test('a backend server that keeps failing is ejected and probed with one request at a time', () => {
	const fixture = new Fixture(createServers(2, 4))
	eject(fixture)
	fixture.report([createDemand({ count: 8 })])
	fixture.grant()
	expect(fixture.countHeld('server', 'server-1')).toBe(0)
	expect(fixture.countHeld('server', 'server-2')).toBe(4)
	fixture.timers.advance(5000)
	for (let probes = 0; probes < 3; probes++) {
		fixture.report([createDemand({ count: 8 })])
		const [probe, ...others] = fixture.grant()
		assert(probe)
		expect([probe.server, others.length]).toEqual(['server-1', 0])
		fixture.end(probe, 'success')
	}
	fixture.report([createDemand({ count: 8 })])
	expect(fixture.grant()).toHaveLength(4)
})

test('a probe of a removed entry instance does not keep the backend server ejected', () => {
	const fixture = new Fixture(createServers(2, 4))
	eject(fixture)
	fixture.timers.advance(5000)
	fixture.report([createDemand({ count: 8 })], [], 'entry-3')
	fixture.grant()
	expect(fixture.countHeld('server', 'server-1')).toBe(1)
	fixture.removeInstance('entry-3')
	fixture.report([createDemand({ count: 8 })])
	fixture.grant()
	expect(fixture.countHeld('server', 'server-1')).toBe(1)
})

test('a new owner does not grant slots that are in use', () => {
	const fixture = new Fixture(createServers(2, 4))
	fixture.report([createDemand({ count: 3 })], [], 'entry-1')
	fixture.report([createDemand({ count: 2 })], [], 'entry-2')
	expect(fixture.grant()).toHaveLength(5)
	fixture.replaceOwner()
	fixture.report([createDemand({ count: 20 })], [], 'entry-3')
	expect(fixture.grant()).toHaveLength(3)
	for (const { name } of fixture.servers) expect(fixture.countHeld('server', name)).toBe(4)
})

test('a repeated end of a grant frees one slot', () => {
	const fixture = new Fixture(createServers(1, 2))
	fixture.report([createDemand({ count: 2 })])
	const [first] = fixture.grant()
	assert(first)
	fixture.end(first, 'success')
	fixture.report([createDemand({ count: 5 })], [{ grant: first.id, result: 'success' }])
	expect(fixture.grant()).toHaveLength(1)
})
