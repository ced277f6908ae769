import {
	Fold,
	getAllowanceTotal,
	VirtualTimerService,
	type AllowancePolicy,
	type LoanRequest,
	type LogEntry,
	type Milliseconds,
	type Proposal,
} from '@mastichead/core'
import { createRandom } from '../createRandom.js'
import { SimulatedMember } from './SimulatedMember.js'

const TEAM = 'team'
const TICK_INTERVAL: Milliseconds = 100
const DIGEST_INTERVAL: Milliseconds = 500
const HEARTBEAT_INTERVAL: Milliseconds = 5000
const START_INTERVAL: Milliseconds = 20
const PEER_LATENCY: Milliseconds = 1.5
const LOG_LATENCY: Milliseconds = 30
const CALL_DEADLINE: Milliseconds = 1000
const PROPOSE_DEADLINE: Milliseconds = 5000

interface Options {
	readonly members: number
	/** Upper limit of the team. */
	readonly limit: number
	/** Longest run time of a request. */
	readonly runMilliseconds: Milliseconds
	readonly seed: number
	readonly createPolicy: () => AllowancePolicy
}

/**
 * Simulates the members of three availability zones, one log and one team in virtual time. Asserts
 * the upper limit on every start.
 *
 * @internal
 */
export class SimulatedFleet {
	readonly timers = new VirtualTimerService()
	readonly members: SimulatedMember[] = []
	readonly counts = { appends: 0, loanCalls: 0, digests: 0 }
	/** Zone that reaches neither the other zones nor the log. */
	partitionedZone: number | undefined
	isLogDown = false
	/** Running requests of all members. */
	running = 0
	private readonly log: LogEntry[] = []
	/** State at the end of the log; members may lag behind it. */
	private readonly headFold: Fold
	private readonly random: () => number

	constructor(private readonly options: Options) {
		this.random = createRandom(options.seed)
		this.headFold = this.createFold()
		for (let index = 0; index < options.members; index++) this.addMember(index)
		this.timers.every(START_INTERVAL, () => {
			for (const member of this.members) this.startQueued(member)
		})
	}

	/** Counts the running requests of the members of a zone, or of all members. */
	countRunning(zone?: number): number {
		let running = 0
		for (const member of this.members) {
			if (zone === undefined || member.zone === zone) running += member.runningUnits.size
		}
		return running
	}

	get aliveMembers(): SimulatedMember[] {
		return this.members.filter((member) => member.isAlive)
	}

	advance(duration: Milliseconds): void {
		this.timers.advance(duration)
	}

	private createFold(): Fold {
		const fold = new Fold()
		const { limit, runMilliseconds } = this.options
		fold.state.teams.set(TEAM, { name: TEAM, share: 1, limit })
		fold.state.runBounds = [{ runMilliseconds }]
		return fold
	}

	private addMember(index: number): void {
		const name = `entry-${index}`
		const policy = this.options.createPolicy()
		const member = new SimulatedMember(name, index % 3, this.createFold(), this.timers, policy)
		this.members.push(member)
		const join = { availabilityZone: `${index % 3}`, peerAddress: `${name}:1` }
		member.holder.trackRenewal(`${name}/join`)
		this.propose(member, { kind: 'join', id: `${name}/join`, instance: name, ...join })
		const offset = this.random() * TICK_INTERVAL
		this.timers.after(offset, () => {
			this.timers.every(TICK_INTERVAL, () => {
				this.tick(member)
			})
			this.timers.every(DIGEST_INTERVAL, () => {
				this.sendDigest(member)
			})
			this.timers.every(HEARTBEAT_INTERVAL, () => {
				this.sendHeartbeat(member)
			})
		})
	}

	private canReach(from: SimulatedMember, to: SimulatedMember): boolean {
		if (!from.isAlive || !to.isAlive) return false
		return (
			from.zone === to.zone ||
			(from.zone !== this.partitionedZone && to.zone !== this.partitionedZone)
		)
	}

	private canReachLog(member: SimulatedMember): boolean {
		return member.isAlive && !this.isLogDown && member.zone !== this.partitionedZone
	}

	private propose(member: SimulatedMember, proposal: Proposal): void {
		this.counts.appends++
		this.timers.after(LOG_LATENCY, () => {
			if (!this.canReachLog(member)) return
			const entry = { offset: this.log.length, at: this.timers.now(), proposal }
			this.log.push(entry)
			this.headFold.apply(entry)
			this.timers.after(LOG_LATENCY, () => {
				for (const reader of this.members)
					if (this.canReachLog(reader)) reader.foldNewEntries(this.log)
				if (proposal.kind === 'allowance') member.isProposing = false
			})
		})
	}

	private sendHeartbeat(member: SimulatedMember): void {
		if (!member.isAlive) return
		const id = `${member.name}/${member.heartbeatCount++}`
		member.holder.trackRenewal(id)
		this.propose(member, { kind: 'heartbeat', id, instance: member.name })
	}

	private tick(member: SimulatedMember): void {
		if (!member.isAlive) return
		const queued = new Map([[TEAM, member.queued]])
		const { changes, requests, returns } = member.planner.tick(member.state, queued)
		if (!member.isProposing) this.proposeChanges(member, changes)
		for (const request of requests) this.requestLoan(member, request)
		for (const loanReturn of returns) {
			this.callPeer(member, loanReturn.lender, (lender) => {
				lender.holder.acceptReturn(loanReturn)
				member.holder.borrower.confirmReturn(loanReturn)
			})
		}
	}

	private proposeChanges(
		member: SimulatedMember,
		changes: Parameters<SimulatedMember['holder']['createProposal']>[0]
	): void {
		const proposal = member.holder.createProposal(changes)
		if (!proposal) return
		member.isProposing = true
		this.propose(member, proposal)
		this.timers.after(PROPOSE_DEADLINE, () => {
			member.isProposing = false
		})
	}

	private requestLoan(member: SimulatedMember, request: LoanRequest): void {
		const requestedAt = this.timers.now()
		let isAnswered = false
		this.callPeer(member, request.lender, (lender) => {
			const reply = lender.planner.lend(lender.state, request)
			this.timers.after(PEER_LATENCY, () => {
				isAnswered = true
				member.planner.handleReply(request, reply, requestedAt)
				this.startQueued(member)
			})
		})
		this.timers.after(CALL_DEADLINE, () => {
			if (!isAnswered) member.planner.handleReply(request, undefined, requestedAt)
		})
	}

	private callPeer(
		from: SimulatedMember,
		to: string,
		deliver: (member: SimulatedMember) => void
	): void {
		this.counts.loanCalls++
		const target = this.members.find(({ name }) => name === to)
		if (!target) return
		this.timers.after(PEER_LATENCY, () => {
			if (this.canReach(from, target)) deliver(target)
		})
	}

	private sendDigest(member: SimulatedMember): void {
		for (const other of this.members) {
			if (other === member || !this.canReach(member, other)) continue
			this.counts.digests++
			const load = member.planner.getLoad(member.state, TEAM)
			this.timers.after(PEER_LATENCY, () => {
				other.planner.peerLoads.update(member.name, [[TEAM, load]])
			})
		}
	}

	private startQueued(member: SimulatedMember): void {
		for (const unit of member.startQueued(TEAM)) {
			this.running++
			const duration = this.options.runMilliseconds * (0.2 + 0.8 * this.random())
			this.timers.after(duration, () => {
				this.running--
				member.runningUnits.delete(unit)
				member.holder.release(unit)
				this.startQueued(member)
			})
		}
		this.assertLimit()
	}

	private assertLimit(): void {
		const total = getAllowanceTotal(this.headFold.state, TEAM)
		const limit = Math.max(this.options.limit, total)
		if (this.running > limit) throw new Error(`${this.running} requests exceed limit ${limit}`)
	}
}
