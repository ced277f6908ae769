import { Model } from '../Model.js'
import { expireLedger } from './expireLedger.js'
import type { Ledger } from './Ledger.js'
import type { LedgerAction } from './LedgerAction.js'
import type { LedgerMistake } from './LedgerMistake.js'
import type { LedgerRecord } from './LedgerRecord.js'
import type { LedgerState } from './LedgerState.js'
import { takeRecord } from './takeRecord.js'
import { terms } from './terms.js'

type Holder = LedgerState['holders'][number]

/** Steps of time: within a run, almost a lease, past the floor lease. */
const ADVANCES = [20_000, 110_000, 3_600_000]

interface Bounds {
	readonly members: number
	readonly limit: number
	readonly advances: number
	/** Appends, repeated ones too. */
	readonly appends: number
	readonly copies: number
	readonly heartbeats: number
	/** Allowance records of each member. */
	readonly proposals: number
	readonly starts: number
	/** Times that the last member acts at once; absent when it acts step by step like the others. */
	readonly grabs?: number | undefined
	/** Limit that one document may lower to; absent for none. */
	readonly loweredLimit?: number | undefined
}

/**
 * Allowances in the ledger: members that hold, release, pause and vanish, around a log whose
 * appends get lost, come late and come twice.
 *
 * @public
 */
export class LedgerModel extends Model<LedgerState, LedgerAction> {
	override readonly name = 'allowances in the ledger'
	override readonly invariants = new Map([
		['ledger-within-limit', (state: LedgerState) => this.checkLedger(state)],
		['running-within-limit', (state: LedgerState) => this.checkRunning(state)],
	])

	constructor(
		private readonly bounds: Bounds,
		private readonly mistake?: LedgerMistake
	) {
		super()
	}

	override createInitial(): LedgerState {
		const { advances, appends, members, loweredLimit, limit } = this.bounds
		const seen = {
			renewedAt: 0,
			lapsed: false,
			lapsedFrom: null,
			isGone: false,
			amount: 0,
			sequence: 0,
			sentAt: 0,
		}
		const holder = { seen, heartbeats: 0, readAt: 0, sequence: 0, pending: [], runs: [], starts: 0 }
		return {
			now: 0,
			left: {
				advances,
				appends,
				grabs: this.bounds.grabs ?? 0,
				limits: loweredLimit === undefined ? 0 : 1,
			},
			ledger: { limit, members: Array.from({ length: members }, () => seen) },
			flight: [],
			holders: Array.from({ length: members }, () => holder),
		}
	}

	override getActions(state: LedgerState): LedgerAction[] {
		const actions: LedgerAction[] = []
		if (state.left.advances > 0) actions.push(...ADVANCES.map((by) => advance(by)))
		if (state.left.appends > 0) {
			for (const index of state.flight.keys()) actions.push({ kind: 'append', index })
			const limit = this.bounds.loweredLimit
			if (limit !== undefined) actions.push({ kind: 'limit', limit })
		}
		for (const member of state.holders.keys()) actions.push(...this.getHolderActions(state, member))
		if (state.left.grabs > 0) {
			actions.push({ kind: 'grab' })
			if (this.getLastFree(state) > 0) actions.push({ kind: 'yield' })
		}
		return actions
	}

	override apply(state: LedgerState, action: LedgerAction): LedgerState {
		switch (action.kind) {
			case 'advance':
				return this.advance(state, action.by)
			case 'append':
				return this.append(state, action.index)
			case 'limit': {
				const left = { ...state.left, limits: 0 }
				return { ...state, left, ledger: { ...state.ledger, limit: action.limit } }
			}
			case 'grab':
				return this.grab(state)
			case 'yield':
				return this.yield(state)
			case 'heartbeat':
			case 'ask':
			case 'release':
			case 'read':
			case 'start':
				return this.act(state, action.member, action.kind)
		}
	}

	/** Units that a member may have running now. */
	getUsable(state: LedgerState, member: number): number {
		const holder = state.holders[member]
		if (!holder || holder.seen.isGone) return 0
		const pending = holder.pending.reduce((sum, { amount }) => sum + amount, 0)
		return Math.max(0, this.getLeased(state, holder) - pending)
	}

	private getLeased({ now }: LedgerState, { seen, readAt }: Holder): number {
		const { mistake } = this
		if (mistake === 'start-without-clock') return seen.amount
		const from = mistake === 'lease-from-reading' ? readAt : seen.sentAt
		const age = (now - from) / (1 - terms.clockRateError)
		if (age < terms.lease) return seen.amount
		if (age >= terms.floorLease) return 0
		return seen.lapsed ? seen.amount : Math.floor(seen.amount / 2)
	}

	private getHolderActions(state: LedgerState, member: number): LedgerAction[] {
		const holder = state.holders[member]
		if (!holder || (this.bounds.grabs !== undefined && member === this.lastMember)) return []
		const { heartbeats, proposals, starts } = this.bounds
		const kinds: ('heartbeat' | 'ask' | 'release' | 'read' | 'start')[] = []
		if (holder.seen !== state.ledger.members[member]) kinds.push('read')
		if (holder.heartbeats < heartbeats) kinds.push('heartbeat')
		if (holder.sequence < proposals) kinds.push('ask')
		if (this.getUsable(state, member) > holder.runs.length) {
			if (holder.starts < starts) kinds.push('start')
			if (holder.sequence < proposals) kinds.push('release')
		}
		return kinds.map((kind) => ({ kind, member }))
	}

	private advance(state: LedgerState, by: number): LedgerState {
		const now = state.now + by
		const holders = state.holders.map((holder) => ({
			...holder,
			runs: holder.runs.filter((end) => end > now),
		}))
		return { ...state, now, holders, left: { ...state.left, advances: state.left.advances - 1 } }
	}

	private append(state: LedgerState, index: number): LedgerState {
		const sent = state.flight[index]
		if (!sent) return state
		const rest = state.flight.filter((_, at) => at !== index)
		const again = sent.copies > 1 ? [{ ...sent, copies: sent.copies - 1 }] : []
		const left = { ...state.left, appends: state.left.appends - 1 }
		return { ...this.take(state, sent.record), left, flight: [...rest, ...again] }
	}

	private act(
		state: LedgerState,
		member: number,
		kind: 'heartbeat' | 'ask' | 'release' | 'read' | 'start'
	): LedgerState {
		const holder = state.holders[member]
		if (!holder) return state
		const { heartbeats, sequence, pending, runs, starts } = holder
		const next = sequence + 1
		switch (kind) {
			case 'heartbeat': {
				const record = { kind, member, sentAt: state.now }
				return this.send(state, member, { ...holder, heartbeats: heartbeats + 1 }, record)
			}
			case 'ask': {
				const record = { kind: 'allowance', member, sequence: next, delta: 2 } as const
				return this.send(state, member, { ...holder, sequence: next }, record)
			}
			case 'release': {
				const record = { kind: 'allowance', member, sequence: next, delta: -1 } as const
				const subtracted = { sequence: next, amount: 1 }
				const isForgotten = this.mistake === 'releases-forgotten'
				const kept = isForgotten ? pending : [...pending, subtracted]
				return this.send(state, member, { ...holder, sequence: next, pending: kept }, record)
			}
			case 'read':
				return this.replace(state, member, this.read(state, holder, member))
			case 'start': {
				const end = state.now + terms.run
				return this.replace(state, member, { ...holder, runs: [...runs, end], starts: starts + 1 })
			}
		}
	}

	/** The last member takes what room there is, sees it and starts what it may, all at once. */
	private grab(state: LedgerState): LedgerState {
		const member = this.lastMember
		const holder = state.holders[member]
		if (!holder) return state
		const { now } = state
		const sequence = holder.sequence + 1
		const ask = { kind: 'allowance', member, sequence, delta: this.bounds.limit } as const
		const renewed = this.take(state, { kind: 'heartbeat', member, sentAt: now })
		const taken = this.take(renewed, ask)
		const seen = taken.ledger.members[member] ?? holder.seen
		const count = Math.max(holder.runs.length, seen.amount)
		const runs = Array.from({ length: count }, (_, at) => holder.runs[at] ?? now + terms.run)
		const left = { ...state.left, grabs: state.left.grabs - 1 }
		return this.replace({ ...taken, left }, member, { ...holder, seen, sequence, runs })
	}

	/** The last member gives back all that it does not use. */
	private yield(state: LedgerState): LedgerState {
		const member = this.lastMember
		const holder = state.holders[member]
		if (!holder) return state
		const sequence = holder.sequence + 1
		const delta = -this.getLastFree(state)
		const release = { kind: 'allowance', member, sequence, delta } as const
		const taken = this.take(state, release)
		const seen = taken.ledger.members[member] ?? holder.seen
		const left = { ...state.left, grabs: state.left.grabs - 1 }
		return this.replace({ ...taken, left }, member, { ...holder, seen, sequence })
	}

	private take(state: LedgerState, record: LedgerRecord): LedgerState {
		const expired = expireLedger(state.ledger, state.now, this.mistake)
		const ledger = takeRecord(expired, state.now, record, this.mistake)
		return { ...state, ledger: ledger ?? expired }
	}

	private getLastFree(state: LedgerState): number {
		const runs = state.holders[this.lastMember]?.runs.length ?? 0
		return this.getUsable(state, this.lastMember) - runs
	}

	private get lastMember(): number {
		return this.bounds.members - 1
	}

	private read(state: LedgerState, holder: Holder, member: number): Holder {
		const seen = state.ledger.members[member] ?? holder.seen
		const pending = holder.pending.filter(({ sequence }) => sequence > seen.sequence)
		const readAt = this.mistake === 'lease-from-reading' ? state.now : 0
		return { ...holder, seen, pending, readAt }
	}

	private send(
		state: LedgerState,
		member: number,
		holder: Holder,
		record: LedgerRecord
	): LedgerState {
		const flight = [...state.flight, { record, copies: this.bounds.copies }]
		return this.replace({ ...state, flight }, member, holder)
	}

	private replace(state: LedgerState, member: number, holder: Holder): LedgerState {
		return { ...state, holders: state.holders.map((row, at) => (at === member ? holder : row)) }
	}

	private checkLedger({ ledger }: LedgerState): string | undefined {
		const total = getTotal(ledger)
		const { limit } = this.bounds
		return total > limit ? `${total} granted, limit ${limit}` : undefined
	}

	private checkRunning({ ledger, holders }: LedgerState): string | undefined {
		const running = holders.reduce((sum, { runs }) => sum + runs.length, 0)
		const limit = Math.max(ledger.limit, getTotal(ledger))
		return running > limit ? `${running} run, limit ${limit}` : undefined
	}
}

function getTotal({ members }: Ledger): number {
	return members.reduce((sum, { amount }) => sum + amount, 0)
}

function advance(by: number): LedgerAction {
	return { kind: 'advance', by }
}
