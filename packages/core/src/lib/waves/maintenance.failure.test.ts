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
import { MaintenanceMonitor } from './MaintenanceMonitor.js'
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

/**
 * One random event. The `fate` of proposals is `twice` for a duplicated append, `lost` for a lost reply
 * after which the daemon proposes again under a new id, and `late` for a delay until `deliver-late`.
 */
type Command =
	| { type: 'tick'; controller: number; lag: number; fate: 'arrives' | 'twice' | 'lost' | 'late' }
	| { type: 'deliver-late'; keep: number }
	| { type: 'request'; controller: number; server: number }
	| { type: 'break'; rack: number; servers: number }
	| { type: 'repair'; rack: number }
	| { type: 'report'; member: number }
	| { type: 'false-report'; member: number; pool: number }
	| { type: 'heartbeat' }
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
	| { type: 'replace'; controller: number }
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
	{
		weight: 2,
		arbitrary: fc.record({ type: fc.constant('deliver-late' as const), keep: fc.nat(2) }),
	},
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
	{ weight: 2, arbitrary: fc.record({ type: fc.constant('repair' as const), rack: index(9) }) },
	{
		weight: 4,
		arbitrary: fc.record({ type: fc.constant('report' as const), member: index(MEMBERS) }),
	},
	{
		weight: 1,
		arbitrary: fc.record({
			type: fc.constant('false-report' as const),
			member: fc.constant(0),
			pool: index(3),
		}),
	},
	{ weight: 3, arbitrary: fc.record({ type: fc.constant('heartbeat' as const) }) },
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
		arbitrary: fc.record({ type: fc.constant('replace' as const), controller: index(MEMBERS) }),
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
	return POOLS.flatMap((pool, poolIndex) =>
		Array.from({ length: SERVERS_PER_POOL }, (_, serverIndex) => {
			const availabilityZone = ZONES[serverIndex % 3] ?? ''
			const rack = `${availabilityZone}${poolIndex}`
			const address = `127.0.0.1:${2000 + poolIndex * 100 + serverIndex}`
			const name = `${pool}-${serverIndex}`
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

/** Requests moves at regular intervals, so that they overlap with all other events. */
class PeriodicMovePolicy extends MovePolicy {
	override readonly name = 'periodic'

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

/** Simulates the log, the backend servers, and daemons that plan steps from both. */
class MaintenanceSimulation extends MaintenanceMonitor {
	now = 0
	readonly entries: LogEntry[] = []
	readonly primaryFold = new Fold()
	private readonly delayedProposals: Proposal[] = []
	private readonly runEnds = new Map<string, number[]>()
	private readonly brokenServers = new Set<string>()
	private readonly maintenanceEnds = new Map<string, number>()
	private downUntil = 0
	private proposalCount = 0
	private readonly controllers = Array.from({ length: MEMBERS }, (_, member) =>
		createController(`member-${member}`)
	)
	private readonly serverNames = createServers().map(({ name }) => name)

	constructor() {
		super()
		for (const proposal of createFirstProposals()) this.append(proposal)
		assert(this.primaryFold.state.members.size === MEMBERS, 'every daemon joined')
	}

	override isDrained(server: string): boolean {
		const since = this.primaryFold.state.placements.get(server)?.since?.offset ?? 0
		const isKnown = this.controllers.every(({ fold }) => fold.state.offset >= since)
		return isKnown && this.countRunning(server) === 0
	}

	override isReady(server: string): boolean {
		return !this.brokenServers.has(server)
	}

	override countRunning(server: string): number {
		return (this.runEnds.get(server) ?? []).filter((end) => end > this.now).length
	}

	override getProgress(wave: string, server: string): MaintenanceProgress {
		const key = `${wave} ${server}`
		const placement = this.primaryFold.state.placements.get(server)
		if (placement?.activity.type !== 'maintenance' || placement.activity.wave !== wave)
			return 'absent'
		const end = this.maintenanceEnds.get(key) ?? this.now + MAINTENANCE_TICKS * TICK
		this.maintenanceEnds.set(key, end)
		if (end > this.now) return 'running'
		return this.brokenServers.has(server) ? 'failed' : 'done'
	}

	run(command: Command): void {
		this.now += TICK
		switch (command.type) {
			case 'tick':
				this.tick(command)
				return
			case 'deliver-late':
				for (const proposal of this.delayedProposals.splice(command.keep)) this.append(proposal)
				return
			case 'request':
				this.startRequest(command.controller, this.serverNames[command.server] ?? '')
				return
			case 'break':
				this.getRack(command.rack)
					.slice(0, command.servers + 1)
					.forEach((name) => this.brokenServers.add(name))
				return
			case 'repair':
				this.getRack(command.rack).forEach((name) => this.brokenServers.delete(name))
				return
			case 'report':
				this.reportHealth(command.member)
				return
			case 'false-report':
				this.append({
					kind: 'health',
					id: this.createProposalId(),
					instance: `member-${command.member}`,
					failed: this.serverNames.filter((name) => name.startsWith(POOLS[command.pool] ?? '')),
					healthy: [],
				})
				return
			case 'apply':
				this.apply(command)
				return
			case 'heartbeat':
				this.sendHeartbeats()
				return
			case 'drain': {
				const { draining, override } = command
				this.append({
					kind: 'drain',
					id: this.createProposalId(),
					backendServer: this.serverNames[command.server] ?? '',
					draining,
					override,
					operator: 'o',
				})
				return
			}
			case 'move':
				this.append({
					kind: 'move',
					id: this.createProposalId(),
					backendServer: this.serverNames[command.server] ?? '',
					from: POOLS[command.from] ?? '',
					to: POOLS[command.to] ?? '',
					step: command.abort ? 'abort' : 'drain',
					proposer: 'o',
				})
				return
			case 'wave':
				this.proposeWaveAction(`wave-${command.wave}`, command.action)
				return
			case 'replace':
				this.controllers[command.controller] = createController(`member-${command.controller}`)
				return
			case 'outage':
				this.downUntil = this.now + command.ticks * TICK
		}
	}

	/** Ends all faults and replaces every daemon by one that starts no moves. */
	endFaults(): void {
		this.brokenServers.clear()
		this.delayedProposals.length = 0
		this.downUntil = 0
		this.controllers.splice(0)
		for (let member = 0; member < MEMBERS; member += 1) {
			this.controllers.push(createController(`member-${member}`, new FixedMovePolicy()))
		}
	}

	/** Runs the daemons in turn, one in each tick. */
	runDaemons(ticks: number): void {
		for (let tick = 0; tick < ticks; tick += 1) {
			this.now += TICK
			if (tick % 20 === 0) this.sendHeartbeats()
			this.reportHealth(tick % MEMBERS)
			this.tick({ controller: tick % MEMBERS, lag: 0, fate: 'arrives' })
			for (const { fold } of this.controllers) this.readLog(fold, 0)
		}
	}

	/** Ends drains and moves every backend server to its pool in the document, as an operator would. */
	restorePlacements(): void {
		for (let server = 0; server < this.serverNames.length; server += 1) {
			this.apply({ pool: server % 3, maximumUnavailable: 2, server, removed: false, stale: false })
		}
		for (const { name, pool } of this.primaryFold.state.backendServers.values()) {
			const from = this.primaryFold.state.placements.get(name)?.pool ?? ''
			this.append({
				kind: 'drain',
				id: this.createProposalId(),
				backendServer: name,
				draining: false,
				operator: 'o',
			})
			this.append({
				kind: 'move',
				id: this.createProposalId(),
				backendServer: name,
				from,
				to: pool,
				step: 'drain',
				proposer: 'o',
			})
		}
	}

	sendHeartbeats(): void {
		for (const { member } of this.controllers)
			this.append({ kind: 'heartbeat', id: this.createProposalId(), instance: member })
	}

	private tick({
		controller: controllerIndex,
		lag,
		fate,
	}: Pick<Extract<Command, { type: 'tick' }>, 'controller' | 'lag' | 'fate'>): void {
		const controller = this.controllers[controllerIndex]
		if (!controller) return
		this.readLog(controller.fold, lag)
		const { state } = controller.fold
		const demands = new Map(
			POOLS.map((pool) => [
				pool,
				{ pool, running: 0, queued: 0, meanRunTime: TICK, toleratedWait: TICK },
			])
		)
		const proposer = controller.member
		const proposals: Proposal[] = [
			...controller.waves.plan(state, this).steps.map((step) => ({
				...step,
				kind: 'wave-step' as const,
				id: this.createProposalId(),
				proposer,
			})),
			...controller.moves
				.plan(state, this, demands, this.now)
				.map((step) => ({ ...step, kind: 'move' as const, id: this.createProposalId(), proposer })),
		]
		for (const proposal of proposals) {
			if (fate === 'late') this.delayedProposals.push(proposal)
			else this.append(proposal)
			if (fate === 'twice') this.append(proposal)
			if (fate === 'lost') this.append({ ...proposal, id: this.createProposalId() })
		}
	}

	private readLog(fold: Fold, lag: number): void {
		if (this.now < this.downUntil) return
		const end = Math.max(fold.state.offset + 1, this.entries.length - lag)
		for (const entry of this.entries.slice(fold.state.offset + 1, end)) fold.apply(entry)
	}

	private append(proposal: Proposal): void {
		if (this.now < this.downUntil) return
		const entry = { offset: this.entries.length, at: this.now, proposal }
		this.entries.push(entry)
		const before = getPools(this.primaryFold.state)
		const decision = this.primaryFold.apply(entry)
		const isNew = decision?.type === 'accepted' && decision.offset === entry.offset
		checkState(this.primaryFold.state)
		if (isNew) checkStep(this.primaryFold.state, proposal, before, this)
	}

	private startRequest(controllerIndex: number, server: string): void {
		const placement = this.controllers[controllerIndex]?.fold.state.placements.get(server)
		if (placement?.activity.type !== 'serving') return
		const ends = this.runEnds.get(server) ?? []
		this.runEnds.set(server, [...ends, this.now + RUN_TICKS * TICK])
	}

	/** Applies a document that changes a budget and removes a backend server or adds it back. */
	private apply(command: Omit<Extract<Command, { type: 'apply' }>, 'type'>): void {
		const server = createServers()[command.server]
		if (!server) return
		const pools = {
			put: [createPool(POOLS[command.pool] ?? '', command.maximumUnavailable)],
			remove: [],
		}
		const backendServers = command.removed
			? { put: [], remove: [server.name] }
			: { put: [server], remove: [] }
		const base = this.primaryFold.state.version - (command.stale ? 1 : 0)
		const patch = createPatch({ pools, backendServers })
		this.append({ kind: 'apply', id: this.createProposalId(), base, patch, operator: 'o' })
	}

	private reportHealth(member: number): void {
		const instance = `member-${member}`
		const { placements } = this.primaryFold.state
		const isReported = (name: string) => placements.get(name)?.reports?.includes(instance) ?? false
		const failed = this.serverNames.filter(
			(name) => this.brokenServers.has(name) && !isReported(name)
		)
		const healthy = this.serverNames.filter(
			(name) => !this.brokenServers.has(name) && isReported(name)
		)
		this.append({ kind: 'health', id: this.createProposalId(), instance, failed, healthy })
	}

	private proposeWaveAction(wave: string, action: 'create' | 'pause' | 'resume' | 'abort'): void {
		const create = {
			type: 'create' as const,
			backendServers: this.serverNames,
			parallelism: 4,
			failureLimit: 1,
		}
		const waveAction =
			action === 'create'
				? create
				: action === 'pause'
					? { type: action, reason: 'asked' }
					: { type: action }
		this.append({
			kind: 'wave',
			id: this.createProposalId(),
			wave,
			action: waveAction,
			operator: 'o',
		})
	}

	private getRack(rack: number): readonly string[] {
		const name = `${ZONES[rack % 3] ?? ''}${Math.floor(rack / 3)}`
		return this.serverNames.filter(
			(server) => this.primaryFold.state.backendServers.get(server)?.rack === name
		)
	}

	private createProposalId(): string {
		this.proposalCount += 1
		return `proposal-${this.proposalCount}`
	}
}

function createController(
	member: string,
	policy: MovePolicy = new PeriodicMovePolicy()
): Controller {
	return {
		member,
		fold: new Fold(),
		waves: new WavePlanner(),
		moves: new MovePlanner(policy),
	}
}

function getPools(state: FleetState): ReadonlyMap<string, string> {
	return new Map([...state.placements].map(([name, { pool }]) => [name, pool]))
}

/** Counts the backend servers in service independently of `AvailabilityLedger`. */
function countPool(state: FleetState, pool: string): { available: number; unavailable: number } {
	const liveMembers = [...state.members.values()].filter(
		({ renewedAt }) => state.at - renewedAt <= 120_000
	)
	let available = 0
	let unavailable = 0
	for (const [name, placement] of state.placements) {
		if (placement.pool !== pool) continue
		const zone = state.backendServers.get(name)?.availabilityZone
		const zoneMembers = liveMembers.filter((member) => member.availabilityZone === zone)
		const observers = zoneMembers.length > 1 ? zoneMembers : liveMembers
		const votes = observers.filter(({ instance }) => placement.reports?.includes(instance)).length
		const isHealthy = observers.length > 0 && (votes === 0 || votes < observers.length / 2)
		if (isHealthy && placement.activity.type === 'serving') available += 1
		else unavailable += 1
	}
	return { available, unavailable }
}

/** Checks the invariants that hold after every entry. */
function checkState(state: FleetState): void {
	expect(state.placements.size).toBe(state.backendServers.size)
	for (const { pool } of state.placements.values()) expect(state.pools.has(pool)).toBe(true)
	for (const wave of state.waves.values()) {
		const failures = wave.outcomes.filter(({ outcome }) => outcome === 'failed').length
		if (wave.state === 'running') expect(failures).toBeLessThanOrEqual(wave.failureLimit)
		const inProgress = [...wave.steps].filter(
			([, step]) => step === 'draining' || step === 'maintenance'
		)
		expect(inProgress.length).toBeLessThanOrEqual(wave.parallelism)
		for (const [name, step] of inProgress) {
			const activity = state.placements.get(name)?.activity
			expect(activity).toMatchObject({ type: step, wave: wave.id })
		}
	}
}

/** Returns the other zones in the pool of `server` with steps in progress and servers left to drain. */
function getZonesInProgress(state: FleetState, wave: Wave, server: string): readonly string[] {
	const pool = state.placements.get(server)?.pool
	const getZone = (name: string) => state.backendServers.get(name)?.availabilityZone ?? ''
	const inPool = [...wave.steps].filter(([name]) => state.placements.get(name)?.pool === pool)
	const inProgress = inPool.filter(([, step]) => step === 'draining' || step === 'maintenance')
	const waiting = inPool.filter(([name, step]) => {
		const placement = state.placements.get(name)
		return (
			step === 'waiting' && placement?.activity.type === 'serving' && placement.health === 'healthy'
		)
	})
	const zones = new Set(inProgress.map(([name]) => getZone(name)))
	return waiting
		.map(([name]) => getZone(name))
		.filter((zone) => zone !== getZone(server) && zones.has(zone))
}

/** Checks the additional invariants that hold after an accepted step. */
function checkStep(
	state: FleetState,
	proposal: Proposal,
	before: ReadonlyMap<string, string>,
	simulation: MaintenanceSimulation
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
	const mustKeepBudget =
		proposal.kind === 'drain'
			? proposal.draining &&
				!proposal.override &&
				state.placements.get(proposal.backendServer)?.health !== 'failed'
			: proposal.step === 'drain' || proposal.step === 'maintain'
	const mustBeDrained =
		proposal.kind !== 'drain' && (proposal.step === 'maintain' || proposal.step === 'reassign')
	if (mustBeDrained) expect(simulation.countRunning(proposal.backendServer)).toBe(0)
	if (!mustKeepBudget) return
	const { available, unavailable } = countPool(state, pool)
	expect(available).toBeGreaterThanOrEqual(state.pools.get(pool)?.minimumAvailable ?? 0)
	expect(unavailable).toBeLessThanOrEqual(state.pools.get(pool)?.maximumUnavailable ?? 0)
	if (proposal.kind !== 'wave-step') return
	const wave = state.waves.get(proposal.wave)
	expect(wave?.state).toBe('running')
	if (wave && proposal.step === 'drain')
		expect(getZonesInProgress(state, wave, proposal.backendServer)).toEqual([])
}

test('budgets, pools and running requests stay intact under concurrent waves, moves, operators and faults', () => {
	let accepted = 0
	fc.assert(
		fc.property(fc.array(command, { minLength: 60, maxLength: 250 }), (commands) => {
			const simulation = new MaintenanceSimulation()
			simulation.run({ type: 'wave', wave: 0, action: 'create' })
			for (const each of commands) simulation.run(each)
			const replica = new Fold()
			for (const entry of simulation.entries) replica.apply(entry)
			expect(replica.state).toEqual(simulation.primaryFold.state)
			accepted += [...simulation.primaryFold.state.decisions.values()].filter(
				({ type }) => type === 'accepted'
			).length
		}),
		{ seed: SEED, numRuns: RUNS, endOnFailure: true }
	)
	expect(accepted).toBeGreaterThan(5_000)
})

test('a wave ends after all faults have ended, whichever daemon continues it', () => {
	fc.assert(
		fc.property(fc.array(command, { minLength: 30, maxLength: 120 }), (commands) => {
			const simulation = new MaintenanceSimulation()
			simulation.run({ type: 'wave', wave: 0, action: 'create' })
			for (const each of commands) simulation.run(each)
			simulation.endFaults()
			simulation.runDaemons(30)
			simulation.run({ type: 'wave', wave: 0, action: 'pause' })
			simulation.run({ type: 'wave', wave: 1, action: 'pause' })
			for (let round = 0; round < 10; round += 1) {
				simulation.restorePlacements()
				simulation.runDaemons(20)
			}
			simulation.run({ type: 'wave', wave: 0, action: 'resume' })
			simulation.run({ type: 'wave', wave: 1, action: 'resume' })
			simulation.runDaemons(500)
			for (const wave of simulation.primaryFold.state.waves.values())
				expect(['done', 'aborted']).toContain(wave.state)
			for (const { activity } of simulation.primaryFold.state.placements.values()) {
				expect(activity.type === 'maintenance').toBe(false)
			}
		}),
		{ seed: SEED, numRuns: 30, endOnFailure: true }
	)
})
