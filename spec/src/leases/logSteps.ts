import { replaceAt } from '../replaceAt.js'
import type { LeaseInstance } from './LeaseInstance.js'
import type { LeaseLog } from './LeaseLog.js'
import type { LeaseRecord } from './LeaseRecord.js'
import type { LeaseRules } from './LeaseRules.js'
import type { LeaseState } from './LeaseState.js'

/**
 * Effects of records on the log and on what processes have to read of it.
 */
export const logSteps = {
	/** Whether the log refuses a record because of a later term's fence. */
	isRefused(log: LeaseLog, record: LeaseRecord, rules: LeaseRules): boolean {
		return record.kind !== 'ended' && record.token < log.token && rules.bug !== 'append-not-fenced'
	},

	write(state: LeaseState, record: LeaseRecord, rules: LeaseRules): LeaseState {
		if (logSteps.isRefused(state.log, record, rules)) return state
		if (record.kind === 'ended') return writeEnd(state, record.token, rules)
		const isDated = record.kind === 'term' || rules.bug !== 'only-term-records-dated'
		const dated = isDated ? writeTerm(state, record.token, 'written') : state
		if (record.kind === 'term') return dated
		const lostTicks = record.kind === 'lost' ? record.ticks : undefined
		return {
			...dated,
			log: { ...dated.log, lostTicks },
			instances: dated.instances.map((instance) => ({
				...instance,
				replica: { ...instance.replica, isLostUnread: true },
			})),
		}
	},
}

function writeEnd(state: LeaseState, token: number, rules: LeaseRules): LeaseState {
	if (rules.bug !== 'instance-ended') return writeTerm(state, token, 'ended')
	const holder = state.holders[token - 1]
	const tokens = state.holders.flatMap((other, index) => (other === holder ? [index + 1] : []))
	return tokens.reduce((at, other) => writeTerm(at, other, 'ended'), state)
}

/** Writes or deletes the record of a term. The deletion of one that is not there has no effect. */
function writeTerm(state: LeaseState, token: number, status: 'written' | 'ended'): LeaseState {
	const index = token - 1
	if (status === 'ended' && state.log.terms[index] !== 'written') return state
	const update = (instance: LeaseInstance): LeaseInstance => {
		const { replica } = instance
		const isRecord = status === 'written' || replica.unread[index] === 'record'
		const unread = replaceAt(replica.unread, index, isRecord ? 'record' : 'ended')
		return { ...instance, replica: { ...replica, unread } }
	}
	return {
		...state,
		log: { ...state.log, terms: replaceAt(state.log.terms, index, status) },
		instances: state.instances.map(update),
	}
}
