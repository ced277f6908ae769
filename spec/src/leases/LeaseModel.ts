import { Model } from '../Model.js'
import { replaceAt } from '../replaceAt.js'
import type { LeaseAction } from './LeaseAction.js'
import type { LeaseBounds } from './LeaseBounds.js'
import type { LeaseBug } from './LeaseBug.js'
import type { LeaseInstance } from './LeaseInstance.js'
import type { LeaseLog } from './LeaseLog.js'
import type { LeaseOwner } from './LeaseOwner.js'
import type { LeaseRecord } from './LeaseRecord.js'
import type { LeaseReplica } from './LeaseReplica.js'
import type { LeaseState } from './LeaseState.js'
import { logSteps } from './logSteps.js'
import { ownerTermSteps } from './ownerTermSteps.js'
import type { LeaseRules } from './LeaseRules.js'
import { replicaSteps } from './replicaSteps.js'

/**
 * The rule by which an owner counts leases of earlier owners on a server that it cannot reach. The
 * task is recorded on that server. Processes are killed, pause, lose the log and hold a term that was
 * replaced; orders and records arrive late or never.
 *
 * @public
 */
export class LeaseModel extends Model<LeaseState, LeaseAction> {
	override readonly name = 'leases over several owners'
	override readonly invariants = new Map<string, (state: LeaseState) => string | undefined>([
		['no-task-twice-at-once', (state) => this.checkSingleRun(state)],
	])

	private readonly rules: LeaseRules
	private readonly emptyReplica: LeaseReplica

	constructor(
		private readonly bounds: LeaseBounds,
		bug?: LeaseBug
	) {
		super()
		const { lease, maximumOwnerSilence } = bounds
		this.rules = { lease, maximumOwnerSilence, bug }
		this.emptyReplica = {
			expiryTicks: Array.from({ length: bounds.terms }, () => undefined),
			unread: Array.from({ length: bounds.terms }, () => 'none'),
			lostTicks: undefined,
			isLostUnread: false,
		}
	}

	override createInitial(): LeaseState {
		const { instances, terms, restarts, lostRecords, ends } = this.bounds
		const log = {
			token: 0,
			terms: Array.from({ length: terms }, () => 'unwritten' as const),
			lostTicks: undefined,
		}
		const replica = this.emptyReplica
		const state: LeaseState = {
			log,
			instances: Array.from({ length: instances }, () => ({ replica, owner: undefined })),
			holders: [],
			lateRecords: [],
			orders: [],
			server: { token: 0, runTicks: 0 },
			isStartedElsewhere: false,
			remaining: { terms, restarts, lostRecords, ends },
		}
		return this.acquire(state, 0)
	}

	override getActions(state: LeaseState): LeaseAction[] {
		const actions: LeaseAction[] = []
		// Once the task runs elsewhere, what earlier owners can do only decreases with time.
		if (!state.isStartedElsewhere) actions.push({ kind: 'tick' })
		for (const [instance, { owner }] of state.instances.entries()) {
			if (!state.isStartedElsewhere) actions.push(...this.getInstanceActions(state, instance))
			if (owner) actions.push(...this.getOwnerActions(state, owner, instance))
		}
		for (const index of state.lateRecords.keys()) actions.push({ kind: 'write-late', index })
		for (const index of state.orders.keys()) actions.push({ kind: 'deliver', index })
		return actions
	}

	override apply(state: LeaseState, action: LeaseAction): LeaseState {
		const next = this.applyAction(state, action)
		if (this.bounds.hasLateReads) return this.normalize(next)
		const instances = next.instances.map((instance) =>
			hasUnread(instance) ? this.read(instance, next.log) : instance
		)
		return this.normalize({ ...next, instances })
	}

	private getInstanceActions(state: LeaseState, instance: number): LeaseAction[] {
		const { instances, remaining } = state
		const { owner, replica } = getInstance(state, instance)
		const actions: LeaseAction[] = []
		if (hasUnread({ owner, replica })) actions.push({ kind: 'read', instance })
		if (!owner && remaining.terms > 0) actions.push({ kind: 'acquire', instance })
		if (remaining.restarts > 0) actions.push({ kind: 'restart', instance })
		if (remaining.ends > 0) {
			for (const index of state.holders.keys()) {
				if (this.mayEnd(state, instances[instance], instance, index + 1))
					actions.push({ kind: 'end', instance, token: index + 1 })
			}
		}
		return actions
	}

	private getOwnerActions(state: LeaseState, owner: LeaseOwner, instance: number): LeaseAction[] {
		const { isStartedElsewhere, log } = state
		const { append } = owner
		const isNewest = owner.token === log.token
		const actions: LeaseAction[] = []
		if (append?.isWritten) actions.push({ kind: 'acknowledge', instance })
		else if (append) actions.push({ kind: 'write', instance })
		if (!(isNewest && isStartedElsewhere) && ownerTermSteps.mayOrder(owner, this.rules))
			actions.push({ kind: 'order', instance })
		if (isStartedElsewhere) return actions
		actions.push({ kind: 'leave-term', instance })
		if (!append) actions.push(...this.getAppends(state, owner, instance))
		if (this.mayList(state, owner)) actions.push({ kind: 'list', instance })
		if (isNewest && ownerTermSteps.mayStartElsewhere(owner))
			actions.push({ kind: 'start-elsewhere', instance })
		return actions
	}

	private getAppends(
		{ log, remaining }: LeaseState,
		owner: LeaseOwner,
		instance: number
	): LeaseAction[] {
		const actions: LeaseAction[] = []
		// No one reads what the last owner of a search writes; the owners before it act in the same way.
		if (remaining.terms === 0 && owner.token === log.token) return actions
		if (owner.token < log.token && this.rules.bug !== 'append-not-fenced') return actions
		if (!owner.isTermDurable || owner.silenceTicks < this.rules.maximumOwnerSilence)
			actions.push({ kind: 'append', instance, record: 'term' })
		if (owner.inheritedTicks === undefined) return actions
		if (remaining.lostRecords > 0) actions.push({ kind: 'append', instance, record: 'lost' })
		if (owner.isLost) actions.push({ kind: 'append', instance, record: 'renewed' })
		return actions
	}

	/** An order that the owner has sent may still be on its way, so it lists only before them. */
	private mayList({ server }: LeaseState, owner: LeaseOwner): boolean {
		const { inheritedTicks, isServerEmpty, orderedTicks, token } = owner
		if (inheritedTicks === undefined || isServerEmpty || orderedTicks > 0) return false
		return token >= server.token
	}

	/** Whether a process may record that a term has sent its last order. */
	private mayEnd(
		{ holders }: LeaseState,
		process: LeaseInstance | undefined,
		instance: number,
		token: number
	): boolean {
		const owner = process?.owner
		if (!process) return false
		// Another process that held the term on this instance is dead.
		if (holders[token - 1] === instance)
			return owner?.token !== token || this.rules.bug === 'ended-while-sending'
		const hasFence = owner && owner.token > token && owner.inheritedTicks !== undefined
		if (!hasFence && this.rules.bug !== 'ended-by-follower') return false
		return (
			this.rules.bug === 'ended-too-soon' ||
			replicaSteps.hasSentLastOrder(process.replica, token, this.rules)
		)
	}

	private applyAction(state: LeaseState, action: LeaseAction): LeaseState {
		switch (action.kind) {
			case 'tick':
				return this.tick(state)
			case 'acquire':
				return this.acquire(state, action.instance)
			case 'read':
				return updateInstance(state, action.instance, (instance) => this.read(instance, state.log))
			case 'append':
				return this.append(state, action.instance, action.record)
			case 'write':
				return this.write(state, action.instance)
			case 'write-late':
				return this.writeLate(state, action.index)
			case 'acknowledge':
				return this.acknowledge(state, action.instance)
			case 'order':
				return this.order(state, action.instance)
			case 'deliver':
				return this.deliver(state, action.index)
			case 'list':
				return this.list(state, action.instance)
			case 'leave-term':
				return this.leaveTerm(state, action.instance)
			case 'end': {
				const next = decrement(state, 'ends')
				return addLateRecord(next, { kind: 'ended', token: action.token })
			}
			case 'restart': {
				const left = this.leaveTerm(decrement(state, 'restarts'), action.instance)
				const replica = replicaSteps.create(left.log, this.rules)
				return updateInstance(left, action.instance, () => ({ replica, owner: undefined }))
			}
			case 'start-elsewhere':
				return { ...state, isStartedElsewhere: true }
		}
	}

	private tick(state: LeaseState): LeaseState {
		const { instances, orders, server } = state
		return {
			...state,
			instances: instances.map(({ replica, owner }) => ({
				replica: replicaSteps.tick(replica),
				owner: owner && ownerTermSteps.tick(owner),
			})),
			// An order that arrives after its lease has no effect, unless leases count from the arrival.
			orders: orders
				.map((order) => ({ ...order, ticks: Math.max(0, order.ticks - 1) }))
				.filter(({ ticks }) => ticks > 0 || this.rules.bug === 'lease-from-arrival'),
			server: { ...server, runTicks: Math.max(0, server.runTicks - 1) },
		}
	}

	private acquire(state: LeaseState, instance: number): LeaseState {
		const token = state.log.token + 1
		const next = decrement(state, 'terms')
		const log = { ...next.log, token }
		const fenced = { ...next, log, holders: [...next.holders, instance] }
		return updateInstance(fenced, instance, ({ replica }) => ({
			replica,
			owner: ownerTermSteps.create(token, replica, this.rules),
		}))
	}

	private read({ owner, replica }: LeaseInstance, log: LeaseLog): LeaseInstance {
		const read = replicaSteps.read(replica, log, this.rules)
		return { replica: read, owner: owner && ownerTermSteps.read(owner, read, this.rules) }
	}

	private append(
		state: LeaseState,
		instance: number,
		kind: 'term' | 'lost' | 'renewed'
	): LeaseState {
		const next = kind === 'lost' ? decrement(state, 'lostRecords') : state
		return updateOwner(next, instance, (owner) => ownerTermSteps.append(owner, kind, this.rules))
	}

	private write(state: LeaseState, instance: number): LeaseState {
		const append = getInstance(state, instance).owner?.append
		if (!append) return state
		const written = logSteps.write(state, append.record, this.rules)
		const next = updateOwner(written, instance, (owner) => ({
			...owner,
			append: { ...append, isWritten: true },
		}))
		const isRepeated = this.rules.bug === 'earlier-attempt-written' && append.record.kind === 'lost'
		const late = isRepeated ? addLateRecord(next, append.record) : next
		return this.bounds.hasLateAcknowledgements ? late : this.acknowledge(late, instance)
	}

	private writeLate(state: LeaseState, index: number): LeaseState {
		const record = state.lateRecords[index]
		const lateRecords = state.lateRecords.filter((_, at) => at !== index)
		return record ? logSteps.write({ ...state, lateRecords }, record, this.rules) : state
	}

	private acknowledge(state: LeaseState, instance: number): LeaseState {
		return updateOwner(state, instance, (owner) => ownerTermSteps.acknowledge(owner, this.rules))
	}

	private order(state: LeaseState, instance: number): LeaseState {
		const token = getInstance(state, instance).owner?.token
		if (token === undefined) return state
		const order = { token, ticks: this.rules.lease }
		const next = updateOwner(state, instance, (owner) =>
			ownerTermSteps.sendOrder(owner, this.rules)
		)
		return { ...next, orders: sort([...next.orders, order]) }
	}

	private deliver(state: LeaseState, index: number): LeaseState {
		const order = state.orders[index]
		const { server } = state
		if (!order) return state
		const next = { ...state, orders: state.orders.filter((_, at) => at !== index) }
		if (order.token < server.token && this.rules.bug !== 'lower-token-accepted') return next
		const ticks = this.rules.bug === 'lease-from-arrival' ? this.rules.lease : order.ticks
		const token = Math.max(order.token, server.token)
		return { ...next, server: { token, runTicks: Math.max(server.runTicks, ticks) } }
	}

	private list(state: LeaseState, instance: number): LeaseState {
		const { owner } = getInstance(state, instance)
		const { runTicks } = state.server
		if (!owner) return state
		const next = { ...state, server: { token: owner.token, runTicks } }
		return updateOwner(next, instance, (at) => ({ ...at, isServerEmpty: runTicks === 0 }))
	}

	/** Ends the term of a process. Its append and its orders may still arrive. */
	private leaveTerm(state: LeaseState, instance: number): LeaseState {
		const append = getInstance(state, instance).owner?.append
		const next = updateInstance(state, instance, ({ replica }) => ({ replica, owner: undefined }))
		return append && !append.isWritten ? addLateRecord(next, append.record) : next
	}

	private checkSingleRun({ isStartedElsewhere, server }: LeaseState): string | undefined {
		if (!isStartedElsewhere || server.runTicks === 0) return undefined
		return `the task runs elsewhere and for ${server.runTicks} more ticks on the server`
	}

	/** Drops what can have no effect, or only make owners wait longer, so that fewer states differ. */
	private normalize(state: LeaseState): LeaseState {
		const { rules } = this
		const { isStartedElsewhere, log, remaining } = state
		const isNewest = (owner: LeaseOwner | undefined) => owner?.token === log.token
		const lateRecords = state.lateRecords.filter(
			(record) => !logSteps.isRefused(log, record, rules)
		)
		const isRead = remaining.terms > 0 || rules.bug === 'append-not-fenced'
		const mayEnd =
			remaining.ends > 0 ||
			lateRecords.some(({ kind }) => kind === 'ended') ||
			state.instances.some(({ replica }) => replica.unread.includes('ended'))
		const instances = state.instances.map(({ replica, owner }) => {
			const kept = owner && ownerTermSteps.normalize(owner, log, rules)
			const hasRead = !kept || kept.inheritedTicks !== undefined
			const isUsed = isRead || !hasRead || (isNewest(kept) && mayEnd)
			return { replica: isUsed && !isStartedElsewhere ? replica : this.emptyReplica, owner: kept }
		})
		const hasOwner = instances.some(({ owner }) => isNewest(owner))
		if (!isStartedElsewhere && remaining.terms === 0 && !hasOwner)
			return { ...this.createInitial(), instances: [], holders: [] }
		const holders = mayEnd ? state.holders : []
		return this.normalizeServer({ ...state, instances, holders, lateRecords })
	}

	/** Names the lowest token that is accepted by one that is in use. */
	private normalizeServer(state: LeaseState): LeaseState {
		const { bug } = this.rules
		const { instances, log, server } = state
		const orders = state.orders.filter(({ ticks, token }) => {
			const isAccepted = token >= server.token || bug === 'lower-token-accepted'
			return isAccepted && (ticks > server.runTicks || bug === 'lease-from-arrival')
		})
		const tokens = [
			...orders.map((order) => order.token),
			...instances.flatMap(({ owner }) => (owner ? [owner.token] : [])),
		]
		const token = Math.min(log.token, ...tokens.filter((other) => other >= server.token))
		return { ...state, orders, server: { ...server, token } }
	}
}

/** Whether a process has to read the log: to its fence, or records written since it last did. */
function hasUnread({ owner, replica }: LeaseInstance): boolean {
	if (owner && owner.inheritedTicks === undefined) return true
	return replica.isLostUnread || replica.unread.some((unread) => unread !== 'none')
}

function getInstance(state: LeaseState, index: number): LeaseInstance {
	const instance = state.instances[index]
	if (!instance) throw new Error(`there is no instance ${index}`)
	return instance
}

function updateInstance(
	state: LeaseState,
	index: number,
	update: (instance: LeaseInstance) => LeaseInstance
): LeaseState {
	const instances = replaceAt(state.instances, index, update(getInstance(state, index)))
	return { ...state, instances }
}

function updateOwner(
	state: LeaseState,
	index: number,
	update: (owner: LeaseOwner) => LeaseOwner
): LeaseState {
	return updateInstance(state, index, ({ replica, owner }) => ({
		replica,
		owner: owner && update(owner),
	}))
}

function decrement(state: LeaseState, counter: keyof LeaseState['remaining']): LeaseState {
	return { ...state, remaining: { ...state.remaining, [counter]: state.remaining[counter] - 1 } }
}

function addLateRecord(state: LeaseState, record: LeaseRecord): LeaseState {
	return { ...state, lateRecords: sort([...state.lateRecords, record]) }
}

/** Returns the distinct values, sorted. One that arrives twice has the effect of one that arrives last. */
function sort<Value>(values: readonly Value[]): Value[] {
	const byText = new Map(values.map((value) => [JSON.stringify(value), value]))
	return [...byText].sort(([a], [b]) => (a < b ? -1 : 1)).map(([, value]) => value)
}
