import { Model } from '../Model.js'
import type { HandoverAction } from './HandoverAction.js'
import type { HandoverBug } from './HandoverBug.js'
import type { HandoverState } from './HandoverState.js'
import type { LeaseAction } from './LeaseAction.js'
import { LeaseModel } from './LeaseModel.js'
import type { LeaseState } from './LeaseState.js'
import { ownerTermSteps } from './ownerTermSteps.js'

const LEASE = 2
const MAXIMUM_OWNER_SILENCE = 2
const INSTANCES = 3

/**
 * Owners that change as often as once a tick after a server was lost. The log and the processes act
 * without delay, by the steps of {@link LeaseModel}.
 *
 * @public
 */
export class HandoverModel extends Model<HandoverState, HandoverAction> {
	override readonly name = 'hand-overs after a lost server'
	override readonly invariants = new Map<string, (state: HandoverState) => string | undefined>([
		['task-starts-in-time', (state) => this.checkStartable(state)],
	])
	/** Ticks within which the task of a lost server can start elsewhere. */
	static readonly maximumLostTicks = LEASE + MAXIMUM_OWNER_SILENCE
	private readonly model: LeaseModel

	/** @param ticks - ticks after which time stops */
	constructor(
		private readonly ticks: number,
		private readonly bug?: HandoverBug
	) {
		super()
		this.model = new LeaseModel({
			lease: LEASE,
			maximumOwnerSilence: MAXIMUM_OWNER_SILENCE,
			instances: INSTANCES,
			terms: ticks + 3,
			restarts: ticks + 2,
			lostRecords: 2 * ticks + 2,
			ends: ticks + 1,
			hasLateAcknowledgements: false,
			hasLateReads: false,
		})
	}

	/** The first owner sends an order, the server is lost, and the owner is killed before it records that. */
	override createInitial(): HandoverState {
		const begun = this.recordTerm(this.model.createInitial(), 0)
		const ordered = this.model.apply(begun, { kind: 'order', instance: 0 })
		const leases = this.beginTerm(this.endTerm(ordered, 'killed'), 1)
		return { leases, lostTicks: 0 }
	}

	override getActions({ leases, lostTicks }: HandoverState): HandoverAction[] {
		if (lostTicks >= this.ticks || this.isStartable(leases)) return []
		const actions: HandoverAction[] = [{ kind: 'stay' }]
		for (const instance of leases.instances.keys()) {
			actions.push({ kind: 'replace', instance, reason: 'killed' })
			actions.push({ kind: 'replace', instance, reason: 'left' })
			if (instance !== getOwner(leases))
				actions.push({ kind: 'replace', instance, reason: 'replaced' })
		}
		return actions
	}

	override apply({ leases, lostTicks }: HandoverState, action: HandoverAction): HandoverState {
		const later = this.model.apply(leases, { kind: 'tick' })
		// With the record after that of the term, an owner that is replaced so soon does not get to it.
		const isTooLate = this.bug === 'recorded-after-term' && action.kind === 'replace'
		const isRecorded = this.bug !== 'recorded-once' && !isTooLate
		const recorded = isRecorded ? this.recordLost(later) : later
		const stayed = this.recordTerm(recorded, getOwner(recorded))
		if (action.kind === 'stay') return { leases: stayed, lostTicks: lostTicks + 1 }
		const ended = this.endTerm(stayed, action.reason)
		return { leases: this.beginTerm(ended, action.instance), lostTicks: lostTicks + 1 }
	}

	private endTerm(leases: LeaseState, reason: 'killed' | 'left' | 'replaced'): LeaseState {
		const instance = getOwner(leases)
		if (reason === 'replaced') return leases
		if (reason === 'killed') return this.model.apply(leases, { kind: 'restart', instance })
		return this.applyAll(leases, [
			{ kind: 'leave-term', instance },
			{ kind: 'end', instance, token: leases.log.token },
			{ kind: 'write-late', index: 0 },
		])
	}

	private beginTerm(leases: LeaseState, instance: number): LeaseState {
		const hasTerm = leases.instances[instance]?.owner !== undefined
		const left = hasTerm ? this.model.apply(leases, { kind: 'leave-term', instance }) : leases
		const begun = this.model.apply(left, { kind: 'acquire', instance })
		const isRecorded = this.bug !== 'recorded-after-term'
		return this.recordTerm(isRecorded ? this.recordLost(begun) : begun, instance)
	}

	/** Writes the record of a term, which is also the owner's heartbeat. */
	private recordTerm(leases: LeaseState, instance: number): LeaseState {
		return this.applyAll(leases, [
			{ kind: 'append', instance, record: 'term' },
			{ kind: 'write', instance },
		])
	}

	private recordLost(leases: LeaseState): LeaseState {
		if (this.bug === 'never-recorded') return leases
		const instance = getOwner(leases)
		return this.applyAll(leases, [
			{ kind: 'append', instance, record: 'lost' },
			{ kind: 'write', instance },
		])
	}

	private applyAll(leases: LeaseState, actions: readonly LeaseAction[]): LeaseState {
		return actions.reduce((at, action) => this.model.apply(at, action), leases)
	}

	private isStartable({ instances, log }: LeaseState): boolean {
		return instances.some(
			({ owner }) => owner?.token === log.token && ownerTermSteps.mayStartElsewhere(owner)
		)
	}

	private checkStartable({ leases, lostTicks }: HandoverState): string | undefined {
		if (lostTicks < HandoverModel.maximumLostTicks || this.isStartable(leases)) return undefined
		return `the task has waited for ${lostTicks} ticks and cannot start yet`
	}
}

/** Returns the index of the instance that holds the newest term. */
function getOwner({ instances, log }: LeaseState): number {
	return instances.findIndex(({ owner }) => owner?.token === log.token)
}
