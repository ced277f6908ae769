import { assert } from '../../assert.js'
import { Fold } from '../../fold/Fold.js'
import type { LogEntry } from '../../log/LogEntry.js'
import type { Proposal } from '../../log/Proposal.js'
import type { MovePolicy } from '../../moves/MovePolicy.js'
import { FixedMovePolicy } from '../../moves/FixedMovePolicy.js'
import { MovePlanner } from '../../moves/MovePlanner.js'
import type { FleetState } from '../../state/FleetState.js'
import { MaintenanceMonitor } from '../MaintenanceMonitor.js'
import type { MaintenanceProgress } from '../MaintenanceProgress.js'
import { WavePlanner } from '../WavePlanner.js'
import type { MaintenanceCommand } from './MaintenanceCommand.js'
import { maintenanceFleet } from './maintenanceFleet.js'
import { PeriodicMovePolicy } from './PeriodicMovePolicy.js'

const { tick: TICK } = maintenanceFleet
/** Ticks that the maintenance of a server takes, and that a request runs. */
const MAINTENANCE_TICKS = 8
const RUN_TICKS = 4

interface Controller {
	fold: Fold
	readonly member: string
	readonly waves: WavePlanner
	readonly moves: MovePlanner
}

/**
 * Simulates the log, the backend servers, and daemons that plan steps from both. Times are in
 * milliseconds.
 */
export class MaintenanceSimulation extends MaintenanceMonitor {
	now = 0
	readonly entries: LogEntry[] = []
	readonly primaryFold = new Fold()
	private readonly delayedProposals: Proposal[] = []
	private readonly runEnds = new Map<string, number[]>()
	private readonly brokenServers = new Set<string>()
	private readonly maintenanceEnds = new Map<string, number>()
	private downUntil = 0
	private proposalCount = 0
	private readonly controllers = Array.from({ length: maintenanceFleet.memberCount }, (_, member) =>
		createController(`member-${member}`)
	)
	private readonly serverNames = maintenanceFleet.createServers().map(({ name }) => name)

	/**
	 * @param check - called after each entry, also during the construction; `before` has the pools of the
	 * backend servers before it, `isNew` tells whether it was accepted for the first time
	 */
	constructor(
		private readonly check: (
			simulation: MaintenanceSimulation,
			entry: LogEntry,
			before: ReadonlyMap<string, string>,
			isNew: boolean
		) => void
	) {
		super()
		for (const proposal of maintenanceFleet.createFirstProposals()) this.append(proposal)
		assert(
			this.primaryFold.state.members.size === maintenanceFleet.memberCount,
			'every daemon joined'
		)
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

	run(command: MaintenanceCommand): void {
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
					failed: this.serverNames.filter((name) =>
						name.startsWith(maintenanceFleet.pools[command.pool] ?? '')
					),
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
					from: maintenanceFleet.pools[command.from] ?? '',
					to: maintenanceFleet.pools[command.to] ?? '',
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
		for (let member = 0; member < maintenanceFleet.memberCount; member += 1) {
			this.controllers.push(createController(`member-${member}`, new FixedMovePolicy()))
		}
	}

	/** Runs the daemons in turn, one in each tick. */
	runDaemons(ticks: number): void {
		for (let tick = 0; tick < ticks; tick += 1) {
			this.now += TICK
			if (tick % 20 === 0) this.sendHeartbeats()
			this.reportHealth(tick % maintenanceFleet.memberCount)
			this.tick({ controller: tick % maintenanceFleet.memberCount, lag: 0, fate: 'arrives' })
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
	}: Pick<Extract<MaintenanceCommand, { type: 'tick' }>, 'controller' | 'lag' | 'fate'>): void {
		const controller = this.controllers[controllerIndex]
		if (!controller) return
		this.readLog(controller.fold, lag)
		const { state } = controller.fold
		const demands = new Map(
			maintenanceFleet.pools.map((pool) => [
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
		this.check(this, entry, before, isNew)
	}

	private startRequest(controllerIndex: number, server: string): void {
		const placement = this.controllers[controllerIndex]?.fold.state.placements.get(server)
		if (placement?.activity.type !== 'serving') return
		const ends = this.runEnds.get(server) ?? []
		this.runEnds.set(server, [...ends, this.now + RUN_TICKS * TICK])
	}

	/** Applies a document that changes a budget and removes a backend server or adds it back. */
	private apply(command: Omit<Extract<MaintenanceCommand, { type: 'apply' }>, 'type'>): void {
		const server = maintenanceFleet.createServers()[command.server]
		if (!server) return
		const pools = {
			put: [
				maintenanceFleet.createPool(
					maintenanceFleet.pools[command.pool] ?? '',
					command.maximumUnavailable
				),
			],
			remove: [],
		}
		const backendServers = command.removed
			? { put: [], remove: [server.name] }
			: { put: [server], remove: [] }
		const base = this.primaryFold.state.version - (command.stale ? 1 : 0)
		const patch = maintenanceFleet.createPatch({ pools, backendServers })
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
		const name = `${maintenanceFleet.zones[rack % 3] ?? ''}${Math.floor(rack / 3)}`
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
