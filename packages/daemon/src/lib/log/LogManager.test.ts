import { hashState, parseProposal } from '@mastichead/core'
import fc from 'fast-check'
import { assert, expect, test } from 'vitest'
import type { ProposalOutcome } from './ProposalOutcome.js'
import { VirtualFleet } from './testing/VirtualFleet.js'
import type { VirtualLog } from './testing/VirtualLog.js'

const SEED = 20_260_402
const FAULTS = ['none', 'down', 'silent', 'lost'] as const

/** Starts daemons that have joined, and applies the sample fleet. */
async function createAppliedFleet(count: number): Promise<VirtualFleet> {
	const fleet = new VirtualFleet(count)
	await fleet.advance(100)
	for (const { name, log } of fleet.daemons) {
		const joining = { instance: name, availabilityZone: 'zone-0', peerAddress: 'h:1' }
		void log.propose({ kind: 'join', id: `join-${name}`, ...joining })
	}
	const first = getDaemon(fleet, 0)
	const outcome = first.log.propose(fleet.createApply(first, 'first', 3))
	await fleet.advance(200)
	expect(await outcome).toMatchObject({ type: 'decided', decision: { type: 'accepted' } })
	return fleet
}

function getDaemon(fleet: VirtualFleet, index: number): VirtualFleet['daemons'][number] {
	const daemon = fleet.daemons[index]
	assert(daemon)
	return daemon
}

const fleetStep = fc.oneof(
	fc.record({
		type: fc.constant('propose' as const),
		daemon: fc.nat(2),
		teams: fc.integer({ min: 1, max: 5 }),
	}),
	fc.record({
		type: fc.constant('fault' as const),
		daemon: fc.nat(2),
		fault: fc.constantFrom(...FAULTS),
		latency: fc.constantFrom(2, 40, 900, 5000),
	}),
	fc.record({ type: fc.constant('cut' as const), daemon: fc.nat(2), isCut: fc.boolean() }),
	{
		arbitrary: fc.record({
			type: fc.constant('isolate' as const),
			daemon: fc.integer({ min: 1, max: 2 }),
		}),
		weight: 2,
	},
	fc.record({ type: fc.constant('repeat' as const), back: fc.nat(5) }),
	{
		arbitrary: fc.record({
			type: fc.constant('expire' as const),
			keptCount: fc.integer({ min: 4, max: 12 }),
		}),
		weight: 3,
	}
)

type FleetStep = typeof fleetStep extends fc.Arbitrary<infer Value> ? Value : never

interface Observations {
	readonly decisions: Map<number, string>
	readonly outcomes: Map<string, ProposalOutcome>
}

/**
 * Records every decision and outcome. Marks an offset whose decision differs between daemons, or at
 * which a daemon goes back.
 */
function observeFleet(fleet: VirtualFleet): Observations {
	const decisions = new Map<number, string>()
	for (const { log } of fleet.daemons) {
		let last = { offset: -1, version: 0 }
		log.onEntry(({ offset }, decision) => {
			const text = `${decision.type} ${decision.offset} ${hashState(log.state)}`
			if ((decisions.get(offset) ?? text) !== text) decisions.set(offset, 'differs')
			else decisions.set(offset, text)
		})
		log.onChange(() => {
			const { offset, version } = log.state
			if (offset < last.offset || version < last.version) decisions.set(offset, 'went back')
			last = { offset, version }
		})
	}
	return { decisions, outcomes: new Map() }
}

function applyStep(fleet: VirtualFleet, step: FleetStep, observations: Observations): void {
	const { platformLog } = fleet
	switch (step.type) {
		case 'propose': {
			const daemon = getDaemon(fleet, step.daemon)
			const id = `apply-${fleet.timers.now()}`
			const proposal = fleet.createApply(daemon, id, step.teams)
			void daemon.log.propose(proposal).then((outcome) => observations.outcomes.set(id, outcome))
			return
		}
		case 'fault':
			Object.assign(getDaemon(fleet, step.daemon).client, step)
			return
		case 'cut':
			if (step.isCut) fleet.isolatedFromPeers.add(`entry-${step.daemon}`)
			else fleet.isolatedFromPeers.delete(`entry-${step.daemon}`)
			return
		case 'isolate':
			fleet.isolatedFromPeers.add(`entry-${step.daemon}`)
			getDaemon(fleet, step.daemon).client.fault = 'silent'
			return
		case 'repeat': {
			const { record } = platformLog.records.at(-1 - step.back) ?? {}
			if (record !== undefined) platformLog.append([record], fleet.timers.now())
			return
		}
		case 'expire':
			if (hasSnapshot(platformLog, platformLog.records.length - step.keptCount))
				platformLog.expire(step.keptCount)
	}
}

/** Whether a reader can restore the state from the records starting at `first`. */
function hasSnapshot({ records }: VirtualLog, first: number): boolean {
	return records.slice(Math.max(0, first)).some(({ record, offset }) => {
		const proposal = parseProposal(record, offset)
		return proposal.kind === 'snapshot' && proposal.through >= first - 1
	})
}

function checkOutcomes(fleet: VirtualFleet, { outcomes }: Observations): void {
	const logged = new Set(
		fleet.platformLog.records.map(({ record, offset }) => parseProposal(record, offset).id)
	)
	for (const [id, outcome] of outcomes) {
		if (outcome.type === 'decided') expect(logged.has(id)).toBe(true)
		else if (!outcome.mayTakeEffect) expect(logged.has(id)).toBe(false)
	}
}

test('under random faults daemons never diverge or go back, and all reach the end of the log', async () => {
	const histories = fc.array(fc.tuple(fleetStep, fc.constantFrom(50, 700, 4000, 4000)), {
		minLength: 20,
		maxLength: 40,
		size: 'max',
	})
	await fc.assert(
		fc.asyncProperty(histories, async (steps) => {
			const fleet = await createAppliedFleet(3)
			const observations = observeFleet(fleet)
			for (const [step, pause] of steps) {
				applyStep(fleet, step, observations)
				await fleet.advance(pause)
			}
			for (const { client } of fleet.daemons) {
				client.fault = 'none'
				client.latency = 2
			}
			await fleet.advance(40_000)
			const hashes = new Set(fleet.daemons.map(({ log }) => hashState(log.state)))
			expect([...observations.decisions.values()]).not.toContain('differs')
			expect([...observations.decisions.values()]).not.toContain('went back')
			expect(hashes.size).toBe(1)
			expect(fleet.readErrors()).not.toContain('snapshot-state-differs')
			checkOutcomes(fleet, observations)
		}),
		{ seed: SEED, numRuns: 40 }
	)
})

test('an append whose response is lost is decided by reading the log, and is in the log once', async () => {
	const fleet = await createAppliedFleet(1)
	const daemon = getDaemon(fleet, 0)
	daemon.client.fault = 'lost'
	const outcome = daemon.log.propose(fleet.createApply(daemon, 'lost', 4))
	await fleet.advance(200)
	expect(await outcome).toMatchObject({ type: 'decided', decision: { type: 'accepted' } })
	daemon.client.fault = 'none'
	await fleet.advance(10_000)
	expect(fleet.platformLog.records.filter(({ record }) => record.includes('"lost"'))).toHaveLength(
		1
	)
})

test('an append during an outage is retried and takes effect once', async () => {
	const fleet = await createAppliedFleet(1)
	const daemon = getDaemon(fleet, 0)
	daemon.client.fault = 'down'
	const outcome = daemon.log.propose(fleet.createApply(daemon, 'late', 4))
	await fleet.advance(5000)
	daemon.client.fault = 'none'
	await fleet.advance(2500)
	expect(await outcome).toMatchObject({ type: 'decided', decision: { type: 'accepted' } })
	expect(fleet.platformLog.records.filter(({ record }) => record.includes('"late"'))).toHaveLength(
		1
	)
})

test('timeouts grow for a slow platform, so that few appends are repeated', async () => {
	const fleet = await createAppliedFleet(1)
	const daemon = getDaemon(fleet, 0)
	daemon.client.latency = 3500
	let appendedCount = 0
	for (let round = 0; round < 10; round++) {
		const outcome = daemon.log.propose(fleet.createApply(daemon, `slow-${round}`, 4), 30_000)
		await fleet.advance(20_000)
		expect(await outcome).toMatchObject({ type: 'decided', decision: { type: 'accepted' } })
		appendedCount = fleet.platformLog.records.filter(({ record }) =>
			record.includes('"slow-')
		).length
	}
	expect(appendedCount).toBeLessThanOrEqual(15)
})

test('a proposal that cannot be sent ends at its timeout and says whether it may take effect', async () => {
	const fleet = await createAppliedFleet(2)
	const [first, second] = [getDaemon(fleet, 0), getDaemon(fleet, 1)]
	first.client.fault = 'silent'
	const unsent = first.log.propose(fleet.createApply(first, 'a', 4), 10)
	const sent = first.log.propose(fleet.createApply(first, 'b', 5), 1000)
	await fleet.advance(1100)
	expect(await unsent).toMatchObject({ type: 'undecided', mayTakeEffect: false })
	expect(await sent).toMatchObject({ type: 'undecided', mayTakeEffect: true })
	expect(second.log.state.teams.size).toBe(3)
})

test('records proposed together are appended in one call', async () => {
	const fleet = await createAppliedFleet(1)
	const daemon = getDaemon(fleet, 0)
	const before = daemon.client.appendCalls
	const outcomes = Array.from({ length: 200 }, (_, index) =>
		daemon.log.propose({ kind: 'heartbeat', id: `beat-${index}`, instance: 'x' })
	)
	await fleet.advance(100)
	expect((await Promise.all(outcomes)).every(({ type }) => type === 'decided')).toBe(true)
	expect(daemon.client.appendCalls - before).toBe(1)
})

test('a daemon that cannot reach the log catches up from its peers, by snapshot if far behind', async () => {
	const fleet = await createAppliedFleet(2)
	const [first, second] = [getDaemon(fleet, 0), getDaemon(fleet, 1)]
	second.client.fault = 'silent'
	await fleet.advance(3000)
	void first.log.propose(fleet.createApply(first, 'near', 4))
	await fleet.advance(1500)
	expect(second.log.state.teams.size).toBe(4)
	const fresh = fleet.addDaemon('silent')
	expect(fresh.log.isReady).toBe(false)
	await fleet.advance(1500)
	expect(fresh.log.isReady).toBe(true)
	expect(hashState(fresh.log.state)).toBe(hashState(first.log.state))
})

test('a new daemon starts from the newest snapshot once older records have expired', async () => {
	const fleet = await createAppliedFleet(2)
	const first = getDaemon(fleet, 0)
	for (let round = 0; round < 30; round++) {
		void first.log.propose(fleet.createApply(first, `apply-${round}`, 3 + (round % 2)))
		await fleet.advance(2000)
	}
	fleet.platformLog.expire(10)
	fleet.isolatedFromPeers.add('entry-2')
	const fresh = fleet.addDaemon()
	await fleet.advance(500)
	expect(fresh.log.isReady).toBe(true)
	expect(hashState(fresh.log.state)).toBe(hashState(first.log.state))
	expect(fresh.log.state.version).toBeGreaterThan(fleet.platformLog.firstOffset)
})

test('one member takes each snapshot, and the next takes over if it cannot', async () => {
	const fleet = await createAppliedFleet(3)
	const getMarks = () =>
		fleet.platformLog.records
			.map(({ record, offset }) => parseProposal(record, offset))
			.filter((proposal) => proposal.kind === 'snapshot-mark')
	const appendRecords = async (seconds: number) => {
		for (let second = 0; second < seconds; second++) {
			fleet.platformLog.append([JSON.stringify({ kind: 'unknown' })], fleet.timers.now())
			await fleet.advance(1000)
		}
	}
	await appendRecords(10)
	expect(getMarks()).toHaveLength(1)
	const proposer = fleet.daemons.find(({ name }) => name === getMarks()[0]?.instance)
	assert(proposer)
	proposer.client.fault = 'silent'
	await appendRecords(75)
	const [, ...others] = getMarks()
	expect(others.length).toBeGreaterThan(0)
	expect(others.map(({ instance }) => instance)).not.toContain(proposer.name)
})

test('a daemon whose state differs from a snapshot logs an error', async () => {
	const fleet = await createAppliedFleet(2)
	const { platformLog, timers } = fleet
	const through = platformLog.records.length
	const [mark, ...parts] = [
		{ kind: 'snapshot-mark', id: 'mark', instance: 'entry-9' },
		{ kind: 'snapshot', id: 'part', through, hash: 'f'.repeat(64), part: 0, parts: 1, body: '' },
	].map((proposal) => JSON.stringify(proposal))
	assert(mark)
	platformLog.append([mark], timers.now())
	await fleet.advance(100)
	expect(fleet.readErrors()).toBe('')
	platformLog.append(parts, timers.now())
	await fleet.advance(100)
	expect(fleet.readErrors().match(/event=snapshot-state-differs/g)).toHaveLength(2)
})

test('a new daemon that reaches neither the log nor a peer is not ready', async () => {
	const fleet = await createAppliedFleet(1)
	fleet.isolatedFromPeers.add('entry-1')
	const fresh = fleet.addDaemon('silent')
	await fleet.advance(30_000)
	expect(fresh.log.isReady).toBe(false)
})
