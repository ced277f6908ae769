import { Model } from '../Model.js'
import { replaceAt } from '../replaceAt.js'
import type { SubmissionAction } from './SubmissionAction.js'
import type { SubmissionBug } from './SubmissionBug.js'
import type { SubmissionRecord } from './SubmissionRecord.js'
import type { SubmissionState } from './SubmissionState.js'
import { resolveRecords } from './resolveRecords.js'

type CallState = SubmissionState['calls'][number]
type InstanceState = SubmissionState['instances'][number]
type AskedRecord = Exclude<SubmissionRecord, { kind: 'deletion' }>

interface Bounds {
	/** What callers ask for, each once. */
	readonly calls: readonly AskedRecord[]
	readonly instances: number
	/** Restarts of all instances together. */
	readonly restarts: number
}

/**
 * Submissions and cancellations of one id by several teams, at instances that read the log late and start
 * again, and a log that carries appends out late.
 *
 * @public
 */
export class SubmissionModel extends Model<SubmissionState, SubmissionAction> {
	override readonly name = 'submissions of one id'
	override readonly invariants = new Map<string, (state: SubmissionState) => string | undefined>([
		['one-job', (state) => this.checkOneJob(state)],
		['accepted-is-the-job', (state) => this.checkAccepted(state)],
		['refused-never-starts', (state) => this.checkRefused(state)],
		['cancelled-never-starts', (state) => this.checkCancelled(state)],
	])

	constructor(
		private readonly bounds: Bounds,
		private readonly bug?: SubmissionBug
	) {
		super()
	}

	override createInitial(): SubmissionState {
		const { calls, instances } = this.bounds
		const streams = Array.from({ length: this.bug === 'any-stream' ? instances : 1 }, () => [])
		const nothing = streams.map(() => 0)
		const instance = { read: nothing, loaded: nothing }
		return {
			streams,
			calls: calls.map(() => ({ isInFlight: false })),
			instances: Array.from({ length: instances }, () => instance),
			started: [],
			restarts: 0,
			isForgotten: false,
		}
	}

	override getActions(state: SubmissionState): SubmissionAction[] {
		const actions: SubmissionAction[] = []
		for (const [index, call] of state.calls.entries()) {
			actions.push(...this.getCallActions(state, index, call))
		}
		for (const [index, { read }] of state.instances.entries()) {
			for (const [stream, records] of state.streams.entries()) {
				if ((read[stream] ?? 0) < records.length)
					actions.push({ kind: 'read', instance: index, stream })
			}
			if (state.restarts < this.bounds.restarts) actions.push({ kind: 'restart', instance: index })
			const { team, cancelled } = this.resolve(state, index)
			if (team !== undefined && !cancelled && !state.started.includes(team))
				actions.push({ kind: 'start', instance: index })
		}
		if (isForgettable(state)) actions.push({ kind: 'forget' })
		return actions
	}

	override apply(state: SubmissionState, action: SubmissionAction): SubmissionState {
		switch (action.kind) {
			case 'send':
				return this.send(state, action.call, action.instance)
			case 'append':
				return this.append(state, action.call)
			case 'answer':
				return updateCall(state, action.call, (call) => ({
					...call,
					answer: this.decide(state, action.call, call),
				}))
			case 'give-up':
				return updateCall(state, action.call, (call) => ({ ...call, answer: 'none' }))
			case 'read':
				return updateInstance(state, action.instance, (instance) => {
					const read = (instance.read[action.stream] ?? 0) + 1
					return { ...instance, read: replaceAt(instance.read, action.stream, read) }
				})
			case 'restart':
				return this.restart(state, action.instance)
			case 'start':
				return this.start(state, action.instance)
			case 'forget':
				return this.forget(state)
		}
	}

	private getCallActions(
		state: SubmissionState,
		index: number,
		call: CallState
	): SubmissionAction[] {
		const actions: SubmissionAction[] = []
		if (call.instance === undefined) {
			for (const instance of state.instances.keys())
				actions.push({ kind: 'send', call: index, instance })
			return actions
		}
		if (call.isInFlight) actions.push({ kind: 'append', call: index })
		if (call.answer !== undefined) return actions
		if (call.isInFlight) actions.push({ kind: 'give-up', call: index })
		if (this.hasReadItsRecord(state, call)) actions.push({ kind: 'answer', call: index })
		return actions
	}

	private send(state: SubmissionState, index: number, instance: number): SubmissionState {
		const call = { instance, isInFlight: true }
		if (!this.isDecided(state, index, instance)) return updateCall(state, index, () => call)
		const answer = this.decide(state, index, call)
		return updateCall(state, index, () => ({ ...call, isInFlight: false, answer }))
	}

	/** Whether what an instance has read is enough to answer a call without a record of it. */
	private isDecided(state: SubmissionState, index: number, instance: number): boolean {
		const asked = this.getAsked(index)
		const { team, cancelled, barred } = this.resolve(state, instance)
		if (asked.kind === 'submission') return team !== undefined || barred.includes(asked.team)
		return team !== undefined && (team !== asked.team || cancelled)
	}

	private append(state: SubmissionState, index: number): SubmissionState {
		const call = state.calls[index]
		const stream = this.bug === 'any-stream' ? (call?.instance ?? 0) : 0
		const offset = state.streams[stream]?.length ?? 0
		const appended = addRecord(state, stream, this.getAsked(index))
		return updateCall(appended, index, (other) => ({ ...other, isInFlight: false, stream, offset }))
	}

	private restart(state: SubmissionState, index: number): SubmissionState {
		const ends = state.streams.map(({ length }) => length)
		const restarted = updateInstance(state, index, () => ({ read: ends, loaded: ends }))
		return { ...restarted, restarts: state.restarts + 1 }
	}

	private start(state: SubmissionState, instance: number): SubmissionState {
		const { team } = this.resolve(state, instance)
		return team === undefined ? state : { ...state, started: [...state.started, team].sort() }
	}

	private forget(state: SubmissionState): SubmissionState {
		const offsets = [...(state.streams[0]?.keys() ?? [])]
		if (this.bug !== 'oldest-first') offsets.reverse()
		const deleted = offsets.reduce(
			(after, of) => addRecord(after, 0, { kind: 'deletion', of }),
			state
		)
		return { ...deleted, isForgotten: true }
	}

	private hasReadItsRecord(
		state: SubmissionState,
		{ instance = 0, stream = 0, offset }: CallState
	) {
		if (offset === undefined) return false
		return this.bug === 'answered-unread' || (state.instances[instance]?.read[stream] ?? 0) > offset
	}

	/** Returns the answer to a call by what its instance has read. */
	private decide(
		state: SubmissionState,
		index: number,
		{ instance = 0 }: CallState
	): NonNullable<CallState['answer']> {
		const { kind, team: caller } = this.getAsked(index)
		const { team } = this.resolve(state, instance)
		if (kind === 'cancellation') return team === caller ? 'cancelled' : 'unknown'
		// Without what came before, only the own record is known.
		const isOwn = team === caller || (team === undefined && this.bug === 'answered-unread')
		return isOwn ? 'accepted' : 'refused'
	}

	/** Returns what an instance makes of the records that it has read. */
	private resolve(state: SubmissionState, instance: number): ReturnType<typeof resolveRecords> {
		const { read = [], loaded = [] } = state.instances[instance] ?? {}
		const isOrderIgnored = this.bug === 'order-ignored'
		for (const [stream, records] of state.streams.entries()) {
			const known = this.getKnown(records, read[stream] ?? 0, loaded[stream] ?? 0)
			const resolution = resolveRecords(known, isOrderIgnored)
			const isLast = stream === state.streams.length - 1
			if (isLast || resolution.team !== undefined) return resolution
		}
		return { cancelled: false, barred: [] }
	}

	/** Returns the records that are known of a stream; undefined for those that a start did not load. */
	private getKnown(
		records: readonly SubmissionRecord[],
		read: number,
		loaded: number
	): (SubmissionRecord | undefined)[] {
		const known = records.slice(0, read)
		if (this.bug !== 'one-key') return known
		const newest = records.slice(0, loaded).findLastIndex(({ kind }) => kind === 'submission')
		return known.map((record, offset) =>
			record.kind === 'submission' && offset < newest ? undefined : record
		)
	}

	private getAsked(index: number): AskedRecord {
		const asked = this.bounds.calls[index]
		if (!asked) throw new Error(`no call ${index}`)
		return asked
	}

	private getAnswers({ calls }: SubmissionState, kind: AskedRecord['kind'], team?: string) {
		return calls.flatMap(({ answer }, index) => {
			const asked = this.getAsked(index)
			const isMeant = asked.kind === kind && (team === undefined || asked.team === team)
			return isMeant ? [{ answer, team: asked.team }] : []
		})
	}

	private getAcceptedTeams(state: SubmissionState): string[] {
		const accepted = this.getAnswers(state, 'submission').filter(
			({ answer }) => answer === 'accepted'
		)
		return [...new Set(accepted.map(({ team }) => team))]
	}

	private checkOneJob(state: SubmissionState): string | undefined {
		const teams = this.getAcceptedTeams(state)
		return teams.length > 1 ? `${teams.join(' and ')} were accepted` : undefined
	}

	/** Checks that each instance that has read everything has the accepted job, and cancelled only if asked. */
	private checkAccepted(state: SubmissionState): string | undefined {
		const [accepted] = this.getAcceptedTeams(state)
		if (accepted === undefined || state.isForgotten) return undefined
		const asked = this.getAnswers(state, 'cancellation', accepted)
		const mayBeCancelled = asked.some(({ answer }) => answer !== 'unknown')
		for (const [index, { read }] of state.instances.entries()) {
			if (read.some((count, stream) => count < (state.streams[stream]?.length ?? 0))) continue
			const { team, cancelled } = this.resolve(state, index)
			if (team !== accepted) return `${accepted} was accepted, ${team ?? 'nobody'} has the job`
			if (cancelled && !mayBeCancelled) return `${accepted} was accepted, and is cancelled`
		}
		return undefined
	}

	private checkRefused(state: SubmissionState): string | undefined {
		const team = state.started.find((started) =>
			this.getAnswers(state, 'submission', started).every(({ answer }) => answer === 'refused')
		)
		return team === undefined ? undefined : `${team} was refused, and its job started`
	}

	private checkCancelled(state: SubmissionState): string | undefined {
		const team = state.started.find((started) =>
			this.getAnswers(state, 'cancellation', started).some(({ answer }) => answer === 'unknown')
		)
		return team === undefined ? undefined : `${team} was told that it has no job, and it started`
	}
}

/** Whether nothing more comes, and there is no job whose end would have to be waited for. */
function isForgettable({ streams, calls, isForgotten }: SubmissionState): boolean {
	const isQuiet = calls.every(({ isInFlight, answer }) => !isInFlight && answer !== undefined)
	return isQuiet && !isForgotten && resolveRecords(streams[0] ?? []).team === undefined
}

function addRecord(
	state: SubmissionState,
	stream: number,
	record: SubmissionRecord
): SubmissionState {
	const records = [...(state.streams[stream] ?? []), record]
	return { ...state, streams: replaceAt(state.streams, stream, records) }
}

function updateCall(
	state: SubmissionState,
	index: number,
	update: (call: CallState) => CallState
): SubmissionState {
	const call = state.calls[index]
	return call ? { ...state, calls: replaceAt(state.calls, index, update(call)) } : state
}

function updateInstance(
	state: SubmissionState,
	index: number,
	update: (instance: InstanceState) => InstanceState
): SubmissionState {
	const instance = state.instances[index]
	return instance
		? { ...state, instances: replaceAt(state.instances, index, update(instance)) }
		: state
}
