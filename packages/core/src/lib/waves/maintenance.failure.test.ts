import fc from 'fast-check'
import { expect, test } from 'vitest'
import { assert } from '../assert.js'
import type { BackendServer } from '../fleet/BackendServer.js'
import type { FleetPatch } from '../fleet/FleetPatch.js'
import type { Pool } from '../fleet/Pool.js'
import { Fold } from '../fold/Fold.js'
import type { LogEntry } from '../log/LogEntry.js'
import type { Proposal } from '../log/Proposal.js'
import { FixedMovePolicy } from '../moves/FixedMovePolicy.js'
import { MovePlanner } from '../moves/MovePlanner.js'
import { MovePolicy } from '../moves/MovePolicy.js'
import type { MovePolicyInput } from '../moves/MovePolicyInput.js'
import type { PoolMove } from '../moves/PoolMove.js'
import type { FleetState } from '../state/FleetState.js'
import type { Wave } from '../state/Wave.js'
import { MaintenanceEvidence } from './MaintenanceEvidence.js'
import type { MaintenanceProgress } from './MaintenanceProgress.js'
import { WavePlanner } from './WavePlanner.js'

const SEED = 20_261_203
const RUNS = 300
const ZONES = ['a', 'b', 'c']
const POOLS = ['quotes', 'permits', 'spare']
const SERVERS_PER_POOL = 6
const MEMBERS = 6
const TICK = 1_000
const MAINTENANCE_TICKS = 8
const RUN_TICKS = 4

type Command =
	| { type: 'tick'; controller: number; lag: number; fate: 'arrives' | 'twice' | 'lost' | 'late' }
	| { type: 'thaw'; keep: number }
	| { type: 'request'; controller: number; server: number }
	| { type: 'break'; rack: number; servers: number }
	| { type: 'mend'; rack: number }
	| { type: 'report'; member: number }
	| { type: 'lie'; member: number; pool: number }
	| { type: 'beat' }
	| {
			type: 'apply'
			pool: number
			maximumUnavailable: number
			server: number
			removed: boolean
			stale: boolean
	  }
	| { type: 'drain'; server: number; draining: boolean; override: boolean }
	| { type: 'move'; server: number; from: number; to: number; abort: boolean }
	| { type: 'wave'; wave: number; action: 'create' | 'pause' | 'resume' | 'abort' }
	| { type: 'kill'; controller: number }
	| { type: 'outage'; ticks: number }

const index = (max: number) => fc.nat(max - 1)
const command: fc.Arbitrary<Command> = fc.oneof(
	{
		weight: 12,
		arbitrary: fc.record({
			type: fc.constant('tick' as const),
			controller: index(MEMBERS),
			lag: fc.oneof(fc.constant(0), fc.nat(6)),
			fate: fc.constantFrom(
				'arrives' as const,
				'arrives' as const,
				'twice' as const,
				'lost' as const,
				'late' as const
			),
		}),
	},
	{ weight: 2, arbitrary: fc.record({ type: fc.constant('thaw' as const), keep: fc.nat(2) }) },
	{
		weight: 4,
		arbitrary: fc.record({
			type: fc.constant('request' as const),
			controller: index(MEMBERS),
			server: index(18),
		}),
	},
	{
		weight: 1,
		arbitrary: fc.record({
			type: fc.constant('break' as const),
			rack: index(9),
			servers: index(3),
		}),
	},
	{ weight: 2, arbitrary: fc.record({ type: fc.constant('mend' as const), rack: index(9) }) },
	{
		weight: 4,
		arbitrary: fc.record({ type: fc.constant('report' as const), member: index(MEMBERS) }),
	},
	{
		weight: 1,
		arbitrary: fc.record({
			type: fc.constant('lie' as const),
			member: fc.constant(0),
			pool: index(3),
		}),
	},
	{ weight: 3, arbitrary: fc.record({ type: fc.constant('beat' as const) }) },
	{
		weight: 2,
		arbitrary: fc.record({
			type: fc.constant('drain' as const),
			server: index(18),
			draining: fc.boolean(),
			override: fc.nat(9).map((n) => n === 0),
		}),
	},
	{
		weight: 3,
		arbitrary: fc.record({
			type: fc.constant('move' as const),
			server: index(18),
			from: index(3),
			to: index(3),
			abort: fc.nat(3).map((n) => n === 0),
		}),
	},
	{
		weight: 2,
		arbitrary: fc.record({
			type: fc.constant('wave' as const),
			wave: index(2),
			action: fc.constantFrom(
				'create' as const,
				'create' as const,
				'pause' as const,
				'resume' as const,
				'abort' as const
			),
		}),
	},
	{
		weight: 2,
		arbitrary: fc.record({
			type: fc.constant('apply' as const),
			pool: index(3),
			maximumUnavailable: fc.integer({ min: 1, max: 3 }),
			server: index(18),
			removed: fc.boolean(),
			stale: fc.nat(3).map((n) => n === 0),
		}),
	},
	{
		weight: 1,
		arbitrary: fc.record({ type: fc.constant('kill' as const), controller: index(MEMBERS) }),
	},
	{
		weight: 1,
		arbitrary: fc.record({
			type: fc.constant('outage' as const),
			ticks: fc.oneof(fc.integer({ min: 1, max: 10 }), fc.constant(150)),
		}),
	}
)

function createServers(): readonly BackendServer[] {
	return POOLS.flatMap((pool, at) =>
		Array.from({ length: SERVERS_PER_POOL }, (_, count) => {
			const availabilityZone = ZONES[count % 3] ?? ''
			const rack = `${availabilityZone}${at}`
			const address = `127.0.0.1:${2000 + at * 100 + count}`
			const name = `${pool}-${count}`
			return { name, availabilityZone, rack, address, pool, slots: 8, connections: 64 }
		})
	)
}

function createPool(name: string, maximumUnavailable: number): Pool {
	return { name, spare: name === 'spare', minimumAvailable: 3, maximumUnavailable }
}

function createPatch(patch: Partial<FleetPatch>): FleetPatch {
	const none = { put: [], remove: [] }
	const zones = { name: 'test', availabilityZones: ZONES }
	return { ...zones, pools: none, queues: none, teams: none, backendServers: none, ...patch }
}

function createFirstProposals(): readonly Proposal[] {
	const pools = { put: POOLS.map((name) => createPool(name, 2)), remove: [] }
	const backendServers = { put: createServers(), remove: [] }
	const patch = createPatch({ pools, backendServers })
	const joins = Array.from({ length: MEMBERS }, (_, member): Proposal => {
		const instance = `member-${member}`
		const availabilityZone = ZONES[member % 3] ?? ''
		return {
			kind: 'join',
			id: `join-${member}`,
			instance,
			availabilityZone,
			peerAddress: '127.0.0.1:1',
		}
	})
	return [{ kind: 'apply', id: 'first', base: 0, patch, operator: 'o' }, ...joins]
}

/** Asks for moves all the time, so that they meet everything else. */
class RestlessMovePolicy extends MovePolicy {
	override readonly name = 'restless'

	override plan({ now, pools }: MovePolicyInput): readonly PoolMove[] {
		const [from, to] = [pools[(now / TICK) % 3], pools[(now / TICK + 1) % 3]]
		return from && to && now % (7 * TICK) === 0 ? [{ from: from.pool, to: to.pool }] : []
	}
}

interface Controller {
	fold: Fold
	readonly member: string
	readonly waves: WavePlanner
	readonly moves: MovePlanner
}

/** The platform's log, the machines, and a few daemons that look at both. */
class World extends MaintenanceEvidence {
	now = 0
	readonly entries: LogEntry[] = []
	readonly truth = new Fold()
	private readonly late: Proposal[] = []
	private readonly running = new Map<string, number[]>()
	private readonly broken = new Set<string>()
	private readonly jobs = new Map<string, number>()
	private downUntil = 0
	private made = 0
	private readonly controllers = Array.from({ length: MEMBERS }, (_, at) =>
		createController(`member-${at}`)
	)
	private readonly names = createServers().map(({ name }) => name)

	constructor() {
		super()
		for (const proposal of createFirstProposals()) this.append(proposal)
		assert(this.truth.state.members.size === MEMBERS, 'every daemon joined')
	}

	override isDrained(server: string): boolean {
		const since = this.truth.state.placements.get(server)?.since?.offset ?? 0
		const isKnown = this.controllers.every(({ fold }) => fold.state.offset >= since)
		return isKnown && this.countRunning(server) === 0
	}

	override isReady(server: string): boolean {
		return !this.broken.has(server)
	}

	override countRunning(server: string): number {
		return (this.running.get(server) ?? []).filter((end) => end > this.now).length
	}

	override getProgress(wave: string, server: string): MaintenanceProgress {
		const key = `${wave} ${server}`
		const placement = this.truth.state.placements.get(server)
		if (placement?.activity.type !== 'maintenance' || placement.activity.wave !== wave)
			return 'absent'
		const end = this.jobs.get(key) ?? this.now + MAINTENANCE_TICKS * TICK
		this.jobs.set(key, end)
		if (end > this.now) return 'running'
		return this.broken.has(server) ? 'failed' : 'done'
	}

	run(command: Command): void {
		this.now += TICK
		switch (command.type) {
			case 'tick':
				this.tick(command)
				return
			case 'thaw':
				for (const proposal of this.late.splice(command.keep)) this.append(proposal)
				return
			case 'request':
				this.request(command.controller, this.names[command.server] ?? '')
				return
			case 'break':
				this.getRack(command.rack)
					.slice(0, command.servers + 1)
					.forEach((name) => this.broken.add(name))
				return
			case 'mend':
				this.getRack(command.rack).forEach((name) => this.broken.delete(name))
				return
			case 'report':
				this.report(command.member)
				return
			case 'lie':
				this.append({
					kind: 'health',
					id: this.id(),
					instance: `member-${command.member}`,
					failed: this.names.filter((name) => name.startsWith(POOLS[command.pool] ?? '')),
					healthy: [],
				})
				return
			case 'apply':
				this.apply(command)
				return
			case 'beat':
				this.beat()
				return
			case 'drain': {
				const { draining, override } = command
				this.append({
					kind: 'drain',
					id: this.id(),
					backendServer: this.names[command.server] ?? '',
					draining,
					override,
					operator: 'o',
				})
				return
			}
			case 'move':
				this.append({
					kind: 'move',
					id: this.id(),
					backendServer: this.names[command.server] ?? '',
					from: POOLS[command.from] ?? '',
					to: POOLS[command.to] ?? '',
					step: command.abort ? 'abort' : 'drain',
					proposer: 'o',
				})
				return
			case 'wave':
				this.askWave(`wave-${command.wave}`, command.action)
				return
			case 'kill':
				this.controllers[command.controller] = createController(`member-${command.controller}`)
				return
			case 'outage':
				this.downUntil = this.now + command.ticks * TICK
		}
	}

	/** Ends all faults and has every daemon replaced by one that begins no moves. */
	heal(): void {
		this.broken.clear()
		this.late.length = 0
		this.downUntil = 0
		this.controllers.splice(0)
		for (let member = 0; member < MEMBERS; member += 1) {
			this.controllers.push(createController(`member-${member}`, new FixedMovePolicy()))
		}
	}

	/** Lets the daemons work one after the other. */
	work(ticks: number): void {
		for (let tick = 0; tick < ticks; tick += 1) {
			this.now += TICK
			if (tick % 20 === 0) this.beat()
			this.report(tick % MEMBERS)
			this.tick({ controller: tick % MEMBERS, lag: 0, fate: 'arrives' })
			for (const { fold } of this.controllers) this.follow(fold, 0)
		}
	}

	/** An operator puts every backend server in service in the pool of the fleet document. */
	restore(): void {
		for (let server = 0; server < this.names.length; server += 1) {
			this.apply({ pool: server % 3, maximumUnavailable: 2, server, removed: false, stale: false })
		}
		for (const { name, pool } of this.truth.state.backendServers.values()) {
			const from = this.truth.state.placements.get(name)?.pool ?? ''
			this.append({
				kind: 'drain',
				id: this.id(),
				backendServer: name,
				draining: false,
				operator: 'o',
			})
			this.append({
				kind: 'move',
				id: this.id(),
				backendServer: name,
				from,
				to: pool,
				step: 'drain',
				proposer: 'o',
			})
		}
	}

	beat(): void {
		for (const { member } of this.controllers)
			this.append({ kind: 'heartbeat', id: this.id(), instance: member })
	}

	private tick({
		controller: at,
		lag,
		fate,
	}: Pick<Extract<Command, { type: 'tick' }>, 'controller' | 'lag' | 'fate'>): void {
		const controller = this.controllers[at]
		if (!controller) return
		this.follow(controller.fold, lag)
		const { state } = controller.fold
		const demands = new Map(
			POOLS.map((pool) => [
				pool,
				{ pool, running: 0, queued: 0, meanRunTime: TICK, toleratedWait: TICK },
			])
		)
		const proposer = controller.member
		const proposals: Proposal[] = [
			...controller.waves
				.plan(state, this)
				.steps.map((step) => ({ ...step, kind: 'wave-step' as const, id: this.id(), proposer })),
			...controller.moves
				.plan(state, this, demands, this.now)
				.map((step) => ({ ...step, kind: 'move' as const, id: this.id(), proposer })),
		]
		for (const proposal of proposals) {
			if (fate === 'late') this.late.push(proposal)
			else this.append(proposal)
			if (fate === 'twice') this.append(proposal)
			if (fate === 'lost') this.append({ ...proposal, id: this.id() })
		}
	}

	private follow(fold: Fold, lag: number): void {
		if (this.now < this.downUntil) return
		const end = Math.max(fold.state.offset + 1, this.entries.length - lag)
		for (const entry of this.entries.slice(fold.state.offset + 1, end)) fold.apply(entry)
	}

	private append(proposal: Proposal): void {
		if (this.now < this.downUntil) return
		const entry = { offset: this.entries.length, at: this.now, proposal }
		this.entries.push(entry)
		const before = describe(this.truth.state)
		const decision = this.truth.apply(entry)
		const isNew = decision?.type === 'accepted' && decision.offset === entry.offset
		checkState(this.truth.state)
		if (isNew) checkStep(this.truth.state, proposal, before, this)
	}

	private request(at: number, server: string): void {
		const placement = this.controllers[at]?.fold.state.placements.get(server)
		if (placement?.activity.type !== 'serving') return
		const ends = this.running.get(server) ?? []
		this.running.set(server, [...ends, this.now + RUN_TICKS * TICK])
	}

	/** Changes a budget, and takes a backend server out of the file or puts it back. */
	private apply(command: Omit<Extract<Command, { type: 'apply' }>, 'type'>): void {
		const row = createServers()[command.server]
		if (!row) return
		const pools = {
			put: [createPool(POOLS[command.pool] ?? '', command.maximumUnavailable)],
			remove: [],
		}
		const backendServers = command.removed
			? { put: [], remove: [row.name] }
			: { put: [row], remove: [] }
		const base = this.truth.state.version - (command.stale ? 1 : 0)
		const patch = createPatch({ pools, backendServers })
		this.append({ kind: 'apply', id: this.id(), base, patch, operator: 'o' })
	}

	private report(at: number): void {
		const instance = `member-${at}`
		const { placements } = this.truth.state
		const isReported = (name: string) => placements.get(name)?.reports?.includes(instance) ?? false
		const failed = this.names.filter((name) => this.broken.has(name) && !isReported(name))
		const healthy = this.names.filter((name) => !this.broken.has(name) && isReported(name))
		this.append({ kind: 'health', id: this.id(), instance, failed, healthy })
	}

	private askWave(wave: string, action: 'create' | 'pause' | 'resume' | 'abort'): void {
		const create = {
			type: 'create' as const,
			backendServers: this.names,
			parallelism: 4,
			failureLimit: 1,
		}
		const asked =
			action === 'create'
				? create
				: action === 'pause'
					? { type: action, reason: 'asked' }
					: { type: action }
		this.append({ kind: 'wave', id: this.id(), wave, action: asked, operator: 'o' })
	}

	private getRack(rack: number): readonly string[] {
		const name = `${ZONES[rack % 3] ?? ''}${Math.floor(rack / 3)}`
		return this.names.filter((server) => this.truth.state.backendServers.get(server)?.rack === name)
	}

	private id(): string {
		this.made += 1
		return `proposal-${this.made}`
	}
}

function createController(
	member: string,
	policy: MovePolicy = new RestlessMovePolicy()
): Controller {
	return {
		member,
		fold: new Fold(),
		waves: new WavePlanner(),
		moves: new MovePlanner(policy),
	}
}

function describe(state: FleetState): ReadonlyMap<string, string> {
	return new Map([...state.placements].map(([name, { pool }]) => [name, pool]))
}

/** Counts the backend servers in service anew, without the ledger. */
function countPool(state: FleetState, pool: string): { available: number; unavailable: number } {
	const live = [...state.members.values()].filter(
		({ renewedAt }) => state.at - renewedAt <= 120_000
	)
	let available = 0
	let unavailable = 0
	for (const [name, placement] of state.placements) {
		if (placement.pool !== pool) continue
		const zone = state.backendServers.get(name)?.availabilityZone
		const near = live.filter((member) => member.availabilityZone === zone)
		const observers = near.length > 1 ? near : live
		const votes = observers.filter(({ instance }) => placement.reports?.includes(instance)).length
		const isSeen = observers.length > 0 && (votes === 0 || votes < observers.length / 2)
		if (isSeen && placement.activity.type === 'serving') available += 1
		else unavailable += 1
	}
	return { available, unavailable }
}

/** What holds at every offset. */
function checkState(state: FleetState): void {
	expect(state.placements.size).toBe(state.backendServers.size)
	for (const { pool } of state.placements.values()) expect(state.pools.has(pool)).toBe(true)
	for (const wave of state.waves.values()) {
		const failures = wave.outcomes.filter(({ outcome }) => outcome === 'failed').length
		if (wave.state === 'running') expect(failures).toBeLessThanOrEqual(wave.failureLimit)
		const out = [...wave.steps].filter(([, step]) => step === 'draining' || step === 'maintenance')
		expect(out.length).toBeLessThanOrEqual(wave.parallelism)
		for (const [name, step] of out) {
			const activity = state.placements.get(name)?.activity
			expect(activity).toMatchObject({ type: step, wave: wave.id })
		}
	}
}

/** Zones of a pool, other than that of `server`, where a wave has some out and some left in service. */
function getOpenZones(state: FleetState, wave: Wave, server: string): readonly string[] {
	const pool = state.placements.get(server)?.pool
	const getZone = (name: string) => state.backendServers.get(name)?.availabilityZone ?? ''
	const inPool = [...wave.steps].filter(([name]) => state.placements.get(name)?.pool === pool)
	const out = inPool.filter(([, step]) => step === 'draining' || step === 'maintenance')
	const left = inPool.filter(([name, step]) => {
		const placement = state.placements.get(name)
		return (
			step === 'waiting' && placement?.activity.type === 'serving' && placement.health === 'healthy'
		)
	})
	const zones = new Set(out.map(([name]) => getZone(name)))
	return left
		.map(([name]) => getZone(name))
		.filter((zone) => zone !== getZone(server) && zones.has(zone))
}

/** What holds after an accepted step, beyond what holds always. */
function checkStep(
	state: FleetState,
	proposal: Proposal,
	before: ReadonlyMap<string, string>,
	world: World
): void {
	const moved = [...state.placements]
		.filter(([name, { pool }]) => before.get(name) !== pool)
		.map(([name]) => name)
	if (proposal.kind === 'apply') return
	const isReassign =
		proposal.kind === 'move' && (proposal.step === 'reassign' || proposal.step === 'abort')
	expect(isReassign ? [] : moved).toEqual([])
	if (isReassign) expect(moved.filter((name) => name !== proposal.backendServer)).toEqual([])
	if (proposal.kind !== 'wave-step' && proposal.kind !== 'move' && proposal.kind !== 'drain') return
	const pool = before.get(proposal.backendServer) ?? ''
	const isOut =
		proposal.kind === 'drain'
			? proposal.draining &&
				!proposal.override &&
				state.placements.get(proposal.backendServer)?.health !== 'failed'
			: proposal.step === 'drain' || proposal.step === 'maintain'
	const isStopped =
		proposal.kind !== 'drain' && (proposal.step === 'maintain' || proposal.step === 'reassign')
	if (isStopped) expect(world.countRunning(proposal.backendServer)).toBe(0)
	if (!isOut) return
	const { available, unavailable } = countPool(state, pool)
	expect(available).toBeGreaterThanOrEqual(state.pools.get(pool)?.minimumAvailable ?? 0)
	expect(unavailable).toBeLessThanOrEqual(state.pools.get(pool)?.maximumUnavailable ?? 0)
	if (proposal.kind !== 'wave-step') return
	const wave = state.waves.get(proposal.wave)
	expect(wave?.state).toBe('running')
	if (wave && proposal.step === 'drain')
		expect(getOpenZones(state, wave, proposal.backendServer)).toEqual([])
}

test('budgets, pools and running work survive racing waves, moves, operators and faults', () => {
	let accepted = 0
	fc.assert(
		fc.property(fc.array(command, { minLength: 60, maxLength: 250 }), (commands) => {
			const world = new World()
			world.run({ type: 'wave', wave: 0, action: 'create' })
			for (const each of commands) world.run(each)
			const replica = new Fold()
			for (const entry of world.entries) replica.apply(entry)
			expect(replica.state).toEqual(world.truth.state)
			accepted += [...world.truth.state.decisions.values()].filter(
				({ type }) => type === 'accepted'
			).length
		}),
		{ seed: SEED, numRuns: RUNS, endOnFailure: true }
	)
	expect(accepted).toBeGreaterThan(5_000)
})

test('a wave ends once the faults do, whichever daemon goes on with it', () => {
	fc.assert(
		fc.property(fc.array(command, { minLength: 30, maxLength: 120 }), (commands) => {
			const world = new World()
			world.run({ type: 'wave', wave: 0, action: 'create' })
			for (const each of commands) world.run(each)
			world.heal()
			world.work(30)
			world.run({ type: 'wave', wave: 0, action: 'pause' })
			world.run({ type: 'wave', wave: 1, action: 'pause' })
			for (let round = 0; round < 10; round += 1) {
				world.restore()
				world.work(20)
			}
			world.run({ type: 'wave', wave: 0, action: 'resume' })
			world.run({ type: 'wave', wave: 1, action: 'resume' })
			world.work(500)
			for (const wave of world.truth.state.waves.values())
				expect(['done', 'aborted']).toContain(wave.state)
			for (const { activity } of world.truth.state.placements.values()) {
				expect(activity.type === 'maintenance').toBe(false)
			}
		}),
		{ seed: SEED, numRuns: 30, endOnFailure: true }
	)
})
