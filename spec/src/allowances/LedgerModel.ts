import { Model } from '../Model.js'
import { expireLedger } from './expireLedger.js'
import type { Ledger } from './Ledger.js'
import type { LedgerAction } from './LedgerAction.js'
import type { LedgerBug } from './LedgerBug.js'
import type { LedgerRecord } from './LedgerRecord.js'
import type { LedgerState } from './LedgerState.js'
import { applyRecord } from './applyRecord.js'
import { allowanceTerms } from './allowanceTerms.js'

type Holder = LedgerState['holders'][number]

/** Time steps in milliseconds: within a run, almost a lease, and as long as the floor lease. */
const ADVANCES = [20_000, 110_000, 3_600_000]

interface Bounds {
	/** Number of members. */
	readonly members: number
	/** Units that all members together may be granted. */
	readonly limit: number
	/** Time steps. */
	readonly advances: number
	/** Appends, including repeated ones. */
	readonly appends: number
	/** Times that each record may be appended. */
	readonly copies: number
	/** Heartbeats of each member. */
	readonly heartbeats: number
	/** Allowance records of each member. */
	readonly proposals: number
	/** Runs that each member may start. */
	readonly starts: number
	/** Combined actions of the last member; undefined if it acts step by step like the others. */
	readonly combinedActions?: number | undefined
	/** Limit to which a new configuration lowers `limit`; undefined for no such change. */
	readonly loweredLimit?: number | undefined
}

/**
 * Allowances in the ledger. Members acquire and release units, pause or disappear, and the log
 * loses, delays and duplicates appends.
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
		private readonly bug?: LedgerBug
	) {
		super()
	}

	override createInitial(): LedgerState {
		const { advances, appends, members, loweredLimit, limit } = this.bounds
		const observed = {
			renewedAt: 0,
			lapsed: false,
			lapsedFrom: null,
			isGone: false,
			amount: 0,
			sequence: 0,
			sentAt: 0,
		}
		const holder = {
			observed,
			heartbeats: 0,
			readAt: 0,
			sequence: 0,
			pending: [],
			runs: [],
			starts: 0,
		}
		return {
			now: 0,
			remaining: {
				advances,
				appends,
				combinedActions: this.bounds.combinedActions ?? 0,
				limitChanges: loweredLimit === undefined ? 0 : 1,
			},
			ledger: { limit, members: Array.from({ length: members }, () => observed) },
			inFlight: [],
			holders: Array.from({ length: members }, () => holder),
		}
	}

	override getActions(state: LedgerState): LedgerAction[] {
		const actions: LedgerAction[] = []
		if (state.remaining.advances > 0) actions.push(...ADVANCES.map((by) => advance(by)))
		if (state.remaining.appends > 0) {
			for (const index of state.inFlight.keys()) actions.push({ kind: 'append', index })
			const limit = this.bounds.loweredLimit
			if (limit !== undefined) actions.push({ kind: 'limit', limit })
		}
		for (const member of state.holders.keys()) actions.push(...this.getHolderActions(state, member))
		if (state.remaining.combinedActions > 0) {
			actions.push({ kind: 'take-all' })
			if (this.getFreeUnitsOfLastMember(state) > 0) actions.push({ kind: 'return-unused' })
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
				const remaining = { ...state.remaining, limitChanges: 0 }
				return { ...state, remaining, ledger: { ...state.ledger, limit: action.limit } }
			}
			case 'take-all':
				return this.takeAll(state)
			case 'return-unused':
				return this.returnUnused(state)
			case 'heartbeat':
			case 'request':
			case 'release':
			case 'read':
			case 'start':
				return this.act(state, action.member, action.kind)
		}
	}

	/** Returns the units on which a member may run work now. */
	getUsableUnits(state: LedgerState, member: number): number {
		const holder = state.holders[member]
		if (!holder || holder.observed.isGone) return 0
		const pending = holder.pending.reduce((sum, { amount }) => sum + amount, 0)
		return Math.max(0, this.getLeasedUnits(state, holder) - pending)
	}

	private getLeasedUnits({ now }: LedgerState, { observed, readAt }: Holder): number {
		const { bug } = this
		if (bug === 'lease-not-checked') return observed.amount
		const from = bug === 'lease-from-read' ? readAt : observed.sentAt
		const age = (now - from) / (1 - allowanceTerms.clockRateError)
		if (age < allowanceTerms.lease) return observed.amount
		if (age >= allowanceTerms.floorLease) return 0
		return observed.lapsed ? observed.amount : Math.floor(observed.amount / 2)
	}

	private getHolderActions(state: LedgerState, member: number): LedgerAction[] {
		const holder = state.holders[member]
		if (!holder || (this.bounds.combinedActions !== undefined && member === this.lastMember))
			return []
		const { heartbeats, proposals, starts } = this.bounds
		const kinds: ('heartbeat' | 'request' | 'release' | 'read' | 'start')[] = []
		if (holder.observed !== state.ledger.members[member]) kinds.push('read')
		if (holder.heartbeats < heartbeats) kinds.push('heartbeat')
		if (holder.sequence < proposals) kinds.push('request')
		if (this.getUsableUnits(state, member) > holder.runs.length) {
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
		return {
			...state,
			now,
			holders,
			remaining: { ...state.remaining, advances: state.remaining.advances - 1 },
		}
	}

	private append(state: LedgerState, index: number): LedgerState {
		const sent = state.inFlight[index]
		if (!sent) return state
		const rest = state.inFlight.filter((_, at) => at !== index)
		const repeats = sent.copies > 1 ? [{ ...sent, copies: sent.copies - 1 }] : []
		const remaining = { ...state.remaining, appends: state.remaining.appends - 1 }
		return { ...this.foldRecord(state, sent.record), remaining, inFlight: [...rest, ...repeats] }
	}

	private act(
		state: LedgerState,
		member: number,
		kind: 'heartbeat' | 'request' | 'release' | 'read' | 'start'
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
			case 'request': {
				const record = { kind: 'allowance', member, sequence: next, delta: 2 } as const
				return this.send(state, member, { ...holder, sequence: next }, record)
			}
			case 'release': {
				const record = { kind: 'allowance', member, sequence: next, delta: -1 } as const
				const release = { sequence: next, amount: 1 }
				const isForgotten = this.bug === 'releases-forgotten'
				const releases = isForgotten ? pending : [...pending, release]
				return this.send(state, member, { ...holder, sequence: next, pending: releases }, record)
			}
			case 'read':
				return this.replaceHolder(state, member, this.read(state, holder, member))
			case 'start': {
				const end = state.now + allowanceTerms.run
				return this.replaceHolder(state, member, {
					...holder,
					runs: [...runs, end],
					starts: starts + 1,
				})
			}
		}
	}

	/** Lets the last member renew, acquire all free units, read the log and start runs at once. */
	private takeAll(state: LedgerState): LedgerState {
		const member = this.lastMember
		const holder = state.holders[member]
		if (!holder) return state
		const { now } = state
		const sequence = holder.sequence + 1
		const request = { kind: 'allowance', member, sequence, delta: this.bounds.limit } as const
		const renewed = this.foldRecord(state, { kind: 'heartbeat', member, sentAt: now })
		const granted = this.foldRecord(renewed, request)
		const observed = granted.ledger.members[member] ?? holder.observed
		const count = Math.max(holder.runs.length, observed.amount)
		const runs = Array.from(
			{ length: count },
			(_, at) => holder.runs[at] ?? now + allowanceTerms.run
		)
		const remaining = { ...state.remaining, combinedActions: state.remaining.combinedActions - 1 }
		return this.replaceHolder({ ...granted, remaining }, member, {
			...holder,
			observed,
			sequence,
			runs,
		})
	}

	/** Lets the last member release every unit on which nothing runs. */
	private returnUnused(state: LedgerState): LedgerState {
		const member = this.lastMember
		const holder = state.holders[member]
		if (!holder) return state
		const sequence = holder.sequence + 1
		const delta = -this.getFreeUnitsOfLastMember(state)
		const release = { kind: 'allowance', member, sequence, delta } as const
		const released = this.foldRecord(state, release)
		const observed = released.ledger.members[member] ?? holder.observed
		const remaining = { ...state.remaining, combinedActions: state.remaining.combinedActions - 1 }
		return this.replaceHolder({ ...released, remaining }, member, { ...holder, observed, sequence })
	}

	private foldRecord(state: LedgerState, record: LedgerRecord): LedgerState {
		const expired = expireLedger(state.ledger, state.now, this.bug)
		const ledger = applyRecord(expired, state.now, record, this.bug)
		return { ...state, ledger: ledger ?? expired }
	}

	private getFreeUnitsOfLastMember(state: LedgerState): number {
		const runs = state.holders[this.lastMember]?.runs.length ?? 0
		return this.getUsableUnits(state, this.lastMember) - runs
	}

	private get lastMember(): number {
		return this.bounds.members - 1
	}

	private read(state: LedgerState, holder: Holder, member: number): Holder {
		const observed = state.ledger.members[member] ?? holder.observed
		const pending = holder.pending.filter(({ sequence }) => sequence > observed.sequence)
		const readAt = this.bug === 'lease-from-read' ? state.now : 0
		return { ...holder, observed, pending, readAt }
	}

	private send(
		state: LedgerState,
		member: number,
		holder: Holder,
		record: LedgerRecord
	): LedgerState {
		const inFlight = [...state.inFlight, { record, copies: this.bounds.copies }]
		return this.replaceHolder({ ...state, inFlight }, member, holder)
	}

	private replaceHolder(state: LedgerState, member: number, holder: Holder): LedgerState {
		return { ...state, holders: state.holders.map((other, at) => (at === member ? holder : other)) }
	}

	private checkLedger({ ledger }: LedgerState): string | undefined {
		const total = getTotalGranted(ledger)
		const { limit } = this.bounds
		return total > limit ? `${total} granted, limit ${limit}` : undefined
	}

	private checkRunning({ ledger, holders }: LedgerState): string | undefined {
		const running = holders.reduce((sum, { runs }) => sum + runs.length, 0)
		const limit = Math.max(ledger.limit, getTotalGranted(ledger))
		return running > limit ? `${running} run, limit ${limit}` : undefined
	}
}

function getTotalGranted({ members }: Ledger): number {
	return members.reduce((sum, { amount }) => sum + amount, 0)
}

function advance(by: number): LedgerAction {
	return { kind: 'advance', by }
}
