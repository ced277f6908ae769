import {
	AllowanceHolder,
	AllowanceSource,
	type AllowanceUnit,
	type FleetState,
	getAllowanceTotal,
	type InstanceId,
	type Proposal,
	type ProposalId,
	type TeamId,
	type TimerService,
} from '@mastichead/core'
import { randomUUID } from 'node:crypto'
import type { LogManager } from '../log/LogManager.js'

const HEARTBEAT_MILLISECONDS = 5000
const REBALANCE_MILLISECONDS = 500

interface Options {
	readonly timers: TimerService
	readonly log: LogManager
	readonly instance: InstanceId
	readonly availabilityZone: string
	readonly peerAddress: string
}

/**
 * Joins the members, renews the lease and holds an even part of each limit.
 *
 * @public
 */
export class AllowanceManager extends AllowanceSource<AllowanceUnit> {
	readonly holder: AllowanceHolder

	constructor(private readonly options: Options) {
		super()
		this.holder = new AllowanceHolder(options.instance, options.timers)
	}

	async start(): Promise<void> {
		const { timers, log, instance, availabilityZone, peerAddress } = this.options
		log.onChange(() => {
			this.holder.observe(log.state)
		})
		const id = randomUUID()
		await this.renew({ kind: 'join', id, instance, availabilityZone, peerAddress })
		timers.every(HEARTBEAT_MILLISECONDS, () => {
			void this.renew({ kind: 'heartbeat', id: randomUUID(), instance })
		})
		timers.every(REBALANCE_MILLISECONDS, () => {
			this.rebalance()
		})
	}

	override tryStart(team: TeamId): AllowanceUnit | undefined {
		return this.holder.tryStart(team)
	}

	override finish(unit: AllowanceUnit): void {
		this.holder.finish(unit)
	}

	/** Gives everything back; nothing may run any more. */
	async leave(): Promise<void> {
		this.holder.end()
		const { log, instance } = this.options
		await log.propose({ kind: 'leave', id: randomUUID(), instance })
	}

	private async renew(proposal: Extract<Proposal, { id: ProposalId }>): Promise<void> {
		this.holder.expectRenewal(proposal.id)
		await this.options.log.propose(proposal)
	}

	private rebalance(): void {
		const { log } = this.options
		const changes = [...log.state.teams.values()]
			.map(({ name, limit }) => ({ team: name, delta: this.getDelta(log.state, name, limit) }))
			.filter(({ delta }) => delta !== 0)
		const proposal = this.holder.createProposal(changes)
		if (proposal) void log.propose(proposal)
	}

	private getDelta(state: FleetState, team: TeamId, limit: number): number {
		const held = state.members.get(this.options.instance)?.allowances.get(team) ?? 0
		const wanted = Math.ceil(limit / Math.max(1, state.members.size))
		const room = Math.max(0, limit - getAllowanceTotal(state, team))
		return Math.min(wanted - held, room)
	}
}
