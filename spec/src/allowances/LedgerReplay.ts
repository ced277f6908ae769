import {
	AllowanceHolder,
	Fold,
	VirtualTimerService,
	type AllowanceUnit,
	type Proposal,
} from '@mastichead/core'
import type { LedgerAction } from './LedgerAction.js'
import { allowanceTerms } from './allowanceTerms.js'

const TEAM = 'team'

interface Run {
	readonly member: number
	readonly endsAt: number
	readonly unit: AllowanceUnit
}

/**
 * Replays traces of the ledger model on the real fold and holders.
 *
 * @internal
 */
export class LedgerReplay {
	private readonly timers = new VirtualTimerService()
	private readonly fold = new Fold()
	private readonly holders: AllowanceHolder[] = []
	private inFlight: { readonly proposal: Proposal; readonly copies: number }[] = []
	private runs: Run[] = []
	private createdProposals = 0

	constructor(private readonly options: { members: number; limit: number; copies: number }) {
		this.setLimit(options.limit)
		this.fold.state.runBounds = [{ runMilliseconds: allowanceTerms.run }]
		for (let index = 0; index < options.members; index++) this.join(index)
	}

	apply(action: LedgerAction): void {
		switch (action.kind) {
			case 'advance':
				this.advance(action.by)
				break
			case 'append':
				this.append(action.index)
				break
			case 'limit':
				this.setLimit(action.limit)
				break
			case 'take-all':
				this.takeAll()
				break
			case 'return-unused':
				this.returnUnused()
				break
			case 'heartbeat':
				this.send(this.createHeartbeat(action.member))
				break
			case 'request':
				this.send(this.createChange(action.member, 2))
				break
			case 'release':
				this.send(this.createChange(action.member, -1))
				break
			case 'read':
				this.getHolder(action.member).observe(this.fold.state)
				break
			case 'start':
				this.start(action.member)
				break
		}
	}

	/** Returns the granted units, the usable units and the number of runs of each member. */
	getUsage(): { amount: number; usable: number; runs: number }[] {
		return this.holders.map((holder, member) => ({
			amount: this.fold.state.members.get(holder.instance)?.allowances.get(TEAM) ?? 0,
			usable: holder.getUsableUnits(TEAM),
			runs: this.runs.filter((run) => run.member === member).length,
		}))
	}

	private join(index: number): void {
		const instance = `member-${index}`
		const holder = new AllowanceHolder(instance, this.timers)
		this.holders.push(holder)
		const id = `${instance}/join`
		holder.trackRenewal(id)
		this.foldProposal({ kind: 'join', id, instance, availabilityZone: 'a', peerAddress: 'a:1' })
		holder.observe(this.fold.state)
	}

	private advance(by: number): void {
		this.timers.advance(by)
		const ended = this.runs.filter(({ endsAt }) => endsAt <= this.timers.now())
		for (const { member, unit } of ended) this.getHolder(member).release(unit)
		this.runs = this.runs.filter((run) => !ended.includes(run))
	}

	/** Gives a repeated append a new id, as if the fold had forgotten the first one. */
	private append(index: number): void {
		const [sent] = this.inFlight.splice(index, 1)
		if (!sent) return
		const { proposal, copies } = sent
		const isRepeated = copies < this.options.copies
		this.foldProposal(
			isRepeated ? { ...proposal, id: `${proposal.id}/${this.createdProposals++}` } : proposal
		)
		if (copies > 1) this.inFlight.push({ proposal, copies: copies - 1 })
	}

	private takeAll(): void {
		const member = this.holders.length - 1
		const holder = this.getHolder(member)
		this.foldProposal(this.createHeartbeat(member))
		const change = this.createChange(member, this.options.limit)
		this.foldProposal(change)
		holder.observe(this.fold.state)
		while (holder.getFreeUnits(TEAM) > 0) this.start(member)
	}

	private returnUnused(): void {
		const member = this.holders.length - 1
		this.foldProposal(this.createChange(member, -this.getHolder(member).getFreeUnits(TEAM)))
		this.getHolder(member).observe(this.fold.state)
	}

	private start(member: number): void {
		const unit = this.getHolder(member).tryAcquire(TEAM)
		if (!unit) throw new Error('the model may start a run, but the holder has no free unit')
		this.runs.push({ member, unit, endsAt: this.timers.now() + allowanceTerms.run })
	}

	private createHeartbeat(member: number): Proposal {
		const { instance } = this.getHolder(member)
		const id = `${instance}/heartbeat/${this.createdProposals++}`
		this.getHolder(member).trackRenewal(id)
		return { kind: 'heartbeat', id, instance }
	}

	private createChange(member: number, delta: number): Proposal {
		const proposal = this.getHolder(member).createProposal([{ team: TEAM, delta }])
		if (!proposal) throw new Error('the model may change the allowance, but the holder may not')
		return proposal
	}

	private send(proposal: Proposal): void {
		this.inFlight.push({ proposal, copies: this.options.copies })
	}

	private foldProposal(proposal: Proposal): void {
		this.fold.apply({ offset: this.fold.state.offset + 1, at: this.timers.now(), proposal })
	}

	private setLimit(limit: number): void {
		this.fold.state.teams.set(TEAM, { name: TEAM, share: 1, limit })
	}

	private getHolder(member: number): AllowanceHolder {
		const holder = this.holders[member]
		if (!holder) throw new Error(`member ${member} does not exist`)
		return holder
	}
}
