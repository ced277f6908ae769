import fc from 'fast-check'
import { assert, describe, expect, test } from 'vitest'
import { createFleetPatch } from '../fleet/createFleetPatch.js'
import { createSampleFleet } from '../fleet/createSampleFleet.js'
import type { Fleet } from '../fleet/Fleet.js'
import { getFleet } from '../fleet/getFleet.js'
import type { LogEntry } from '../log/LogEntry.js'
import { parseProposal } from '../log/parseProposal.js'
import type { Proposal } from '../log/Proposal.js'
import { decodeSnapshot } from '../snapshot/decodeSnapshot.js'
import { encodeSnapshot } from '../snapshot/encodeSnapshot.js'
import { hashState } from '../snapshot/hashState.js'
import { createFleetState } from '../state/createFleetState.js'
import { Fold } from './Fold.js'

const SEED = 20_260_401
const DAY_MILLISECONDS = 86_400_000
/** Limit of a test over 300 histories, in milliseconds; it only ends one that hangs. */
const HISTORIES_TIMEOUT = 120_000

const WAVE_STEPS = ['drain', 'maintain', 'finish', 'fail', 'abort'] as const
const MOVE_STEPS = ['drain', 'reassign', 'finish', 'abort'] as const

type Step =
	| { readonly type: 'apply'; readonly stale: number; readonly size: number; readonly run: number }
	| { readonly type: 'issue' | 'withdraw'; readonly key: number; readonly team: number }
	| { readonly type: 'join' | 'leave' | 'heartbeat'; readonly instance: number }
	| { readonly type: 'allowance'; readonly instance: number; readonly delta: number }
	| { readonly type: 'health' | 'drain' | 'wave'; readonly server: number; readonly on: boolean }
	| { readonly type: 'step'; readonly server: number; readonly wave: (typeof WAVE_STEPS)[number] }
	| { readonly type: 'move'; readonly server: number; readonly move: (typeof MOVE_STEPS)[number] }
	| { readonly type: 'mark' }
	| { readonly type: 'garbage'; readonly text: string }
	| { readonly type: 'duplicate'; readonly back: number }

type ServerStep = Extract<Step, { readonly server: number }>

const step: fc.Arbitrary<Step> = fc.oneof(
	fc.record({
		type: fc.constant('apply' as const),
		stale: fc.nat(2),
		size: fc.integer({ min: 1, max: 6 }),
		run: fc.integer({ min: 1, max: 90_000 }),
	}),
	fc.record({
		type: fc.constantFrom('issue' as const, 'withdraw' as const),
		key: fc.nat(4),
		team: fc.nat(6),
	}),
	fc.record({
		type: fc.constantFrom('join' as const, 'leave' as const, 'heartbeat' as const),
		instance: fc.nat(2),
	}),
	fc.record({
		type: fc.constant('allowance' as const),
		instance: fc.nat(2),
		delta: fc.integer({ min: -5, max: 60 }),
	}),
	fc.record({
		type: fc.constantFrom('health' as const, 'drain' as const, 'wave' as const),
		server: fc.nat(1),
		on: fc.boolean(),
	}),
	fc.record({
		type: fc.constant('step' as const),
		server: fc.nat(1),
		wave: fc.constantFrom(...WAVE_STEPS),
	}),
	fc.record({
		type: fc.constant('move' as const),
		server: fc.nat(1),
		move: fc.constantFrom(...MOVE_STEPS),
	}),
	fc.constant({ type: 'mark' as const }),
	fc.record({ type: fc.constant('garbage' as const), text: fc.string() }),
	fc.record({ type: fc.constant('duplicate' as const), back: fc.nat(20) })
)

/** Writes random records, as proposers do whose view of the fleet is a few applies old. */
class RecordWriter {
	readonly records: string[] = []
	readonly fold = new Fold()
	private readonly knownFleets: { version: number; fleet: Fleet }[] = [
		{ version: 0, fleet: getFleet(createFleetState()) },
	]

	write(step: Step, at: number): LogEntry {
		const offset = this.records.length
		const record = this.createRecord(step, `id-${offset}`)
		this.records.push(record)
		const entry = { offset, at, proposal: parseProposal(record, offset) }
		this.fold.apply(entry)
		if (this.knownFleets.at(-1)?.version !== this.fold.state.version) {
			this.knownFleets.push({ version: this.fold.state.version, fleet: getFleet(this.fold.state) })
		}
		return entry
	}

	private createRecord(step: Step, id: string): string {
		if (step.type === 'garbage') return step.text
		if (step.type === 'duplicate') return this.records.at(-1 - step.back) ?? 'nothing yet'
		return JSON.stringify(this.createProposal(step, id))
	}

	private createProposal(
		step: Exclude<Step, { type: 'garbage' | 'duplicate' }>,
		id: string
	): Proposal {
		switch (step.type) {
			case 'apply':
				return this.createApply(step, id)
			case 'issue': {
				const hash = `${step.key}`.repeat(64)
				const [key, team] = [`key-${step.key}`, `team-${step.team}`]
				return { kind: 'issue-key', id, key, team, hash, operator: 'o' }
			}
			case 'withdraw':
				return { kind: 'withdraw-key', id, key: `key-${step.key}`, operator: 'o' }
			case 'join': {
				const instance = `entry-${step.instance}`
				return { kind: 'join', id, instance, availabilityZone: 'zone-0', peerAddress: 'h:1' }
			}
			case 'leave':
			case 'heartbeat':
				return { kind: step.type, id, instance: `entry-${step.instance}` }
			case 'allowance': {
				const sequence = this.records.length
				const changes = [{ team: 'team-0', delta: step.delta }]
				return { kind: 'allowance', id, instance: `entry-${step.instance}`, sequence, changes }
			}
			case 'mark':
				return { kind: 'snapshot-mark', id, instance: 'entry-0' }
			case 'health':
			case 'drain':
			case 'wave':
			case 'step':
			case 'move':
				return this.createServerProposal(step, id)
		}
	}

	private createServerProposal(step: ServerStep, id: string): Proposal {
		const backendServer = `server-${step.server}`
		const since = this.fold.state.placements.get(backendServer)?.since?.offset ?? 0
		const wave = 'wave-0'
		switch (step.type) {
			case 'health': {
				const [failed, healthy] = step.on ? [[backendServer], []] : [[], [backendServer]]
				return { kind: 'health', id, instance: 'entry-0', failed, healthy }
			}
			case 'drain':
				return { kind: 'drain', id, backendServer, draining: step.on, operator: 'o' }
			case 'wave': {
				const backendServers = ['server-0', backendServer]
				const create = { type: 'create', backendServers, parallelism: 2, failureLimit: 1 } as const
				const action = step.on ? create : ({ type: 'resume' } as const)
				return { kind: 'wave', id, wave, action, operator: 'o' }
			}
			case 'step':
				return { kind: 'wave-step', id, wave, backendServer, step: step.wave, since, proposer: 'p' }
			case 'move': {
				const [from, to] = ['pool-0', 'pool-1']
				return { kind: 'move', id, backendServer, from, to, step: step.move, since, proposer: 'p' }
			}
		}
	}

	private createApply(step: Extract<Step, { type: 'apply' }>, id: string): Proposal {
		const known = this.knownFleets.at(-1 - step.stale) ?? this.knownFleets.at(-1)
		assert(known)
		const sample = createSampleFleet({ teams: step.size, backendServers: 2 * step.size })
		const queues = sample.queues.map((queue) => ({ ...queue, runMilliseconds: step.run }))
		const patch = createFleetPatch(known.fleet, { ...sample, queues })
		return { kind: 'apply', id, base: known.version, patch, operator: 'o' }
	}
}

const history = fc.record({
	steps: fc.array(fc.tuple(step, fc.constantFrom(0, 5, 1000, 1000, DAY_MILLISECONDS)), {
		minLength: 40,
		maxLength: 100,
		size: 'max',
	}),
	snapshotAt: fc.array(fc.nat(99), { maxLength: 4, size: 'max' }),
})

function restoreFromSnapshot(fold: Fold): Fold {
	const decoding = decodeSnapshot(encodeSnapshot(fold.state))
	assert(decoding.type === 'decoded')
	return new Fold(decoding.state)
}

/** Writes a history and calls `visit` after each entry. */
function writeHistory(
	steps: readonly (readonly [Step, number])[],
	visit: (entry: LogEntry, fold: Fold) => void
): void {
	const writer = new RecordWriter()
	let at = 0
	for (const [nextStep, pause] of steps) {
		at += pause
		visit(writer.write(nextStep, at), writer.fold)
	}
}

describe('over random histories', () => {
	test(
		'continuing from a snapshot at any offset gives the same state as applying every entry',
		() => {
			fc.assert(
				fc.property(history, ({ steps, snapshotAt }) => {
					let restored = new Fold()
					writeHistory(steps, (entry, fold) => {
						restored.apply(entry)
						expect(hashState(restored.state)).toBe(hashState(fold.state))
						if (!snapshotAt.includes(entry.offset)) return
						restored = restoreFromSnapshot(restored)
						expect(restored.state).toEqual(fold.state)
					})
				}),
				{ seed: SEED, numRuns: 300 }
			)
		},
		HISTORIES_TIMEOUT
	)

	test('versions only increase, each is replaced once, and a repeated proposal changes nothing', () => {
		fc.assert(
			fc.property(history, ({ steps }) => {
				const replaced = new Set<number>()
				const decided = new Map<string, string>()
				let version = 0
				writeHistory(steps, ({ offset, proposal }, { state }) => {
					expect(state.version).toBeGreaterThanOrEqual(version)
					const repeated = decided.get(proposal.id)
					if (repeated !== undefined) expect(state.version).toBe(version)
					decided.set(proposal.id, JSON.stringify(state.decisions.get(proposal.id)))
					expect(repeated ?? decided.get(proposal.id)).toBe(decided.get(proposal.id))
					if (state.version !== version) {
						assert(proposal.kind === 'apply')
						expect([proposal.base, state.version]).toEqual([version, offset + 1])
						expect(replaced.has(proposal.base)).toBe(false)
						replaced.add(proposal.base)
					}
					version = state.version
				})
			}),
			{ seed: SEED, numRuns: 300 }
		)
	})

	test('a withdrawn key stays withdrawn for as long as a delayed record may issue it', () => {
		fc.assert(
			fc.property(history, ({ steps }) => {
				const withdrawn = new Map<string, number>()
				const known = new Set<string>()
				writeHistory(steps, ({ at, proposal }, { state }) => {
					const isNew = !known.has(proposal.id)
					known.add(proposal.id)
					if (isNew && proposal.kind === 'withdraw-key') withdrawn.set(proposal.key, at)
					for (const key of state.keys.values()) {
						if (key.state === 'withdrawn') continue
						const since = withdrawn.get(key.id) ?? -Infinity
						expect(at).toBeGreaterThan(since + 7 * DAY_MILLISECONDS)
						expect(state.teams.has(key.team)).toBe(true)
					}
				})
			}),
			{ seed: SEED, numRuns: 300 }
		)
	})
})

describe('apply', () => {
	function createFold(fleet = createSampleFleet()): Fold {
		const fold = new Fold()
		const patch = createFleetPatch(getFleet(fold.state), fleet)
		propose(fold, { kind: 'apply', id: 'first', base: 0, patch, operator: 'o' })
		return fold
	}

	function propose(fold: Fold, proposal: Proposal, at = 0): string {
		const decision = fold.apply({ offset: fold.state.offset + 1, at, proposal })
		assert(decision)
		return decision.type === 'rejected' ? decision.reason : 'accepted'
	}

	function apply(fold: Fold, fleet: Fleet, at = 0): string {
		const base = fold.state.version
		const patch = createFleetPatch(getFleet(fold.state), fleet)
		return propose(
			fold,
			{ kind: 'apply', id: `apply-${fold.state.offset}`, base, patch, operator: 'o' },
			at
		)
	}

	test('applying an unchanged document leaves a moved backend server in its pool', () => {
		const fold = createFold()
		const placement = fold.state.placements.get('server-0')
		assert(placement)
		fold.state.placements.set('server-0', { ...placement, pool: 'pool-1' })
		expect(apply(fold, createSampleFleet())).toBe('accepted')
		expect(fold.state.placements.get('server-0')?.pool).toBe('pool-1')
	})

	test('rejects a document that removes a backend server under maintenance or a pool in use', () => {
		const fold = createFold()
		const placement = fold.state.placements.get('server-5')
		assert(placement)
		const activity = { type: 'maintenance', wave: 'w' } as const
		fold.state.placements.set('server-5', { ...placement, activity })
		expect(apply(fold, createSampleFleet({ backendServers: 5 }))).toMatch(/server-5 is under/)
		const moved = createSampleFleet({ pools: 1 })
		expect(apply(fold, moved)).toMatch(/pool pool-1 still has backend server server-1/)
	})

	test('rejects a document that takes a pool below its minimum', () => {
		const fleet = createSampleFleet()
		const pools = fleet.pools.map((pool) => ({ ...pool, minimumAvailable: 2 }))
		const fold = createFold({ ...fleet, pools })
		const placement = fold.state.placements.get('server-0')
		assert(placement)
		fold.state.placements.set('server-0', { ...placement, health: 'failed' })
		const smaller = { ...createSampleFleet({ backendServers: 4 }), pools }
		expect(apply(fold, smaller)).toMatch(/pool pool-0 would keep 1 .* below its minimum 2/)
	})

	test('rejects a patch with an invalid row, although its proposer should have checked it', () => {
		const fold = createFold()
		const [team] = createSampleFleet().teams
		assert(team)
		const teams = { put: [{ ...team, limit: -1 }], remove: [] }
		const patch = { ...createFleetPatch(getFleet(fold.state), getFleet(fold.state)), teams }
		const { version } = fold.state
		const reason = propose(fold, { kind: 'apply', id: 'x', base: version, patch, operator: 'o' })
		expect(reason).toMatch(/^teams\.put\[0\]\.limit: /)
	})

	test('keeps a longer run bound until no request can run under it', () => {
		const withRun = (runMilliseconds: number) => {
			const fleet = createSampleFleet()
			const queues = fleet.queues.map((queue) => ({ ...queue, runMilliseconds }))
			return { ...fleet, queues }
		}
		const fold = createFold(withRun(60_000))
		apply(fold, withRun(1000), 5000)
		expect(fold.state.runBounds).toEqual([
			{ runMilliseconds: 60_000, replacedAt: 5000 },
			{ runMilliseconds: 1000 },
		])
		apply(fold, withRun(2000), 3_600_000)
		expect(fold.state.runBounds[0]).toEqual({ runMilliseconds: 60_000, replacedAt: 5000 })
		apply(fold, withRun(3000), 3_700_000)
		expect(fold.state.runBounds).toEqual([{ runMilliseconds: 3000 }])
	})
})
