import type { LeaseLog } from './LeaseLog.js'
import type { LeaseOwner } from './LeaseOwner.js'
import type { LeaseRecord } from './LeaseRecord.js'
import type { LeaseReplica } from './LeaseReplica.js'
import type { LeaseRules } from './LeaseRules.js'
import { replicaSteps } from './replicaSteps.js'

/**
 * Behaviour of an owner during its term.
 */
export const ownerTermSteps = {
	/** Begins a term whose fence was just written. */
	create(token: number, replica: LeaseReplica, rules: LeaseRules): LeaseOwner {
		const owner: LeaseOwner = {
			token,
			silenceTicks: rules.maximumOwnerSilence,
			isTermDurable: rules.bug === 'ordered-before-term-durable',
			inheritedTicks: undefined,
			orderedTicks: 0,
			isLost: true,
			isServerEmpty: false,
			append: undefined,
		}
		return rules.bug === 'fence-not-read' ? ownerTermSteps.read(owner, replica, rules) : owner
	},

	/** Counts the leases of earlier terms by a replica that was read to the fence. */
	read(owner: LeaseOwner, replica: LeaseReplica, rules: LeaseRules): LeaseOwner {
		const isFirst = owner.inheritedTicks === undefined
		// After the fence, a record that leases are not renewed is the owner's own.
		const inherited = isFirst ? replica : { ...replica, lostTicks: undefined }
		const ticks = replicaSteps.getInheritedTicks(inherited, owner.token, rules)
		return {
			...owner,
			inheritedTicks: Math.min(owner.inheritedTicks ?? Infinity, ticks),
			isLost: isFirst ? replica.lostTicks !== undefined : owner.isLost,
		}
	},

	/** Whether the owner may send an order to the server. */
	mayOrder(owner: LeaseOwner, rules: LeaseRules): boolean {
		const { append, inheritedTicks, isLost, isTermDurable, silenceTicks } = owner
		if (inheritedTicks === undefined || !isTermDurable) return false
		if (silenceTicks < 0 && rules.bug !== 'silence-ignored') return false
		return !isLost || (rules.bug === 'renewed-before-durable' && append?.record.kind === 'renewed')
	},

	sendOrder(owner: LeaseOwner, rules: LeaseRules): LeaseOwner {
		return { ...owner, orderedTicks: rules.lease, isServerEmpty: false }
	},

	/** Starts an append. From a `lost` record on, the owner sends no orders to the server. */
	append(owner: LeaseOwner, kind: 'term' | 'lost' | 'renewed', rules: LeaseRules): LeaseOwner {
		const { token, orderedTicks, inheritedTicks = 0 } = owner
		const inherited = rules.bug === 'inherited-leases-ignored' ? 0 : inheritedTicks
		const record: LeaseRecord =
			kind === 'lost' ? { kind, token, ticks: Math.max(orderedTicks, inherited) } : { kind, token }
		const append = { record, isWritten: false, silenceTicks: rules.maximumOwnerSilence }
		return { ...owner, append, isLost: owner.isLost || kind === 'lost' }
	},

	/** Learns that the append in flight is durable. */
	acknowledge(owner: LeaseOwner, rules: LeaseRules): LeaseOwner {
		const { append } = owner
		if (!append) return owner
		const { kind } = append.record
		const counted =
			rules.bug === 'silence-from-acknowledgement' ? rules.maximumOwnerSilence : append.silenceTicks
		return {
			...owner,
			append: undefined,
			silenceTicks: Math.max(owner.silenceTicks, counted),
			isTermDurable: owner.isTermDurable || kind === 'term',
			isLost: owner.isLost && kind !== 'renewed',
		}
	},

	/** Whether no run of earlier orders can be left on the server. */
	mayStartElsewhere(owner: LeaseOwner): boolean {
		return owner.isServerEmpty || (owner.inheritedTicks === 0 && owner.orderedTicks === 0)
	},

	/** Drops what can have no effect, or only delay the owner or make later owners wait longer. */
	normalize(owner: LeaseOwner, log: LeaseLog, rules: LeaseRules): LeaseOwner | undefined {
		const { append, isTermDurable, silenceTicks, token } = owner
		const isReplaced = token < log.token && rules.bug !== 'append-not-fenced'
		const isRefused = append && !append.isWritten && isReplaced
		const isUseless =
			append?.record.kind === 'term' && append.silenceTicks < silenceTicks && isTermDurable
		const kept = isRefused || isUseless ? undefined : append
		const mayEverOrder = Math.max(silenceTicks, kept?.silenceTicks ?? -1) >= 0
		if (isReplaced && !mayEverOrder && rules.bug !== 'silence-ignored') return undefined
		return { ...owner, append: kept }
	},

	tick(owner: LeaseOwner): LeaseOwner {
		const { append, inheritedTicks, orderedTicks, silenceTicks } = owner
		return {
			...owner,
			silenceTicks: Math.max(-1, silenceTicks - 1),
			inheritedTicks: inheritedTicks && inheritedTicks - 1,
			orderedTicks: Math.max(0, orderedTicks - 1),
			append: append && { ...append, silenceTicks: Math.max(-1, append.silenceTicks - 1) },
		}
	},
}
