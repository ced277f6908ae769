import { Model } from '../Model.js'
import type { OwnedTask } from './OwnedTask.js'
import type { OwnerState } from './OwnerState.js'
import type { OwnershipAction } from './OwnershipAction.js'
import type { OwnershipBounds } from './OwnershipBounds.js'
import type { OwnershipBug } from './OwnershipBug.js'
import type { OwnershipState } from './OwnershipState.js'
import { invariantChecks } from './invariantChecks.js'
import { orderSteps } from './orderSteps.js'
import { stateSteps } from './stateSteps.js'
import { ownerSteps } from './ownerSteps.js'
import { replaceAt } from '../replaceAt.js'
import { serverSteps } from './serverSteps.js'
import { ticks } from './ticks.js'

/**
 * Ownership, fencing, leases and attempts of jobs. Owners are replaced without knowing it, pause
 * and resume. Appends and orders are carried out late. Backend servers restart or have a slow
 * clock.
 *
 * @public
 */
export class OwnershipModel extends Model<OwnershipState, OwnershipAction> {
	override readonly name = 'ownership of jobs'
	override readonly invariants = new Map<string, (state: OwnershipState) => string | undefined>([
		['no-task-twice-at-once', (state) => invariantChecks.checkSingleRun(state)],
		['no-run-after-end', (state) => invariantChecks.checkNoRunAfterEnd(state)],
		['limit-held', (state) => this.checkLimit(state)],
		['no-end-lost', (state) => invariantChecks.getViolation(state, 'no-end-lost')],
		['recorded-end-stays', (state) => invariantChecks.getViolation(state, 'recorded-end-stays')],
		['stale-owner-refused', (state) => invariantChecks.getViolation(state, 'stale-owner-refused')],
	])

	constructor(
		private readonly bounds: OwnershipBounds,
		private readonly bug?: OwnershipBug
	) {
		super()
	}

	override createInitial(): OwnershipState {
		const { tasks, servers, takeovers, placements, restarts, finishes } = this.bounds
		const { listings, unanswered } = this.bounds
		const statuses = Array.from(
			{ length: tasks },
			() => ({ phase: 'waiting', server: 0, attempt: 0 }) as const
		)
		const owner = this.createOwner(1, 1, 0, statuses)
		return {
			now: 0,
			remaining: { takeovers, placements, restarts, finishes, listings, unanswered },
			log: { token: 1, tasks: statuses },
			owners: [
				{
					...owner,
					incarnations: owner.incarnations.map(() => 1),
					leasedUntil: owner.leasedUntil.map(() => 0),
				},
			],
			servers: Array.from({ length: servers }, () => serverSteps.create(tasks)),
			inFlight: [],
			violation: undefined,
		}
	}

	override getActions(state: OwnershipState): OwnershipAction[] {
		const { remaining, inFlight, owners, servers } = state
		const actions: OwnershipAction[] = []
		if (state.now < this.bounds.ticks) actions.push({ kind: 'tick' })
		if (remaining.takeovers > 0) actions.push({ kind: 'take-over' })
		for (const [ownerIndex, owner] of owners.entries()) {
			if (owner.append) actions.push({ kind: 'complete-append', owner: ownerIndex })
			if (owner.isActive) actions.push(...this.getOwnerActions(state, owner, ownerIndex))
		}
		for (const [index, message] of inFlight.entries()) {
			actions.push({ kind: 'deliver', index })
			if (message.isAnswerAwaited && remaining.unanswered > 0)
				actions.push({ kind: 'give-up', index })
		}
		for (const [server, { running }] of servers.entries()) {
			if (running.length > 0 && remaining.finishes > 0) actions.push({ kind: 'finish', server })
			if (remaining.restarts > 0) actions.push({ kind: 'restart', server })
		}
		return actions
	}

	override apply(state: OwnershipState, action: OwnershipAction): OwnershipState {
		return this.normalize(this.applyAction(state, action))
	}

	private applyAction(state: OwnershipState, action: OwnershipAction): OwnershipState {
		switch (action.kind) {
			case 'tick':
				return stateSteps.tick(state)
			case 'take-over':
				return this.takeOver(state)
			case 'learn-of-takeover':
				return stateSteps.updateOwner(state, action.owner, (owner) => ownerSteps.endTerm(owner))
			case 'place': {
				const next = stateSteps.decrement(state, 'placements')
				return stateSteps.updateOwner(next, action.owner, (owner) =>
					ownerSteps.place(owner, action.task, action.server)
				)
			}
			case 'complete-append':
				return this.completeAppend(state, action.owner)
			case 'start':
				return this.start(state, action.owner, action.task)
			case 'stop':
				return orderSteps.stop(state, action.owner, action.task)
			case 'deliver':
				return this.deliver(state, action.index)
			case 'give-up':
				return orderSteps.giveUp(state, action.index)
			case 'list':
				return this.list(state, action.owner, action.server)
			case 'renew-late':
				return this.renewLate(state, action.owner, action.server)
			case 'read-listing':
				return this.readListing(state, action.owner)
			case 'declare-lost':
				return stateSteps.updateOwner(state, action.owner, (owner) =>
					ownerSteps.loseTasks(owner, action.server)
				)
			case 'finish':
				return stateSteps.updateServer(
					stateSteps.decrement(state, 'finishes'),
					action.server,
					(server) => serverSteps.finish(server)
				)
			case 'restart':
				return stateSteps.updateServer(
					stateSteps.decrement(state, 'restarts'),
					action.server,
					(server) => serverSteps.restart(server)
				)
		}
	}

	/**
	 * Starts the appends that are due, and drops messages that can have no effect any more because
	 * their lease has expired.
	 */
	private normalize(state: OwnershipState): OwnershipState {
		const { servers } = this.bounds
		const inFlight = state.inFlight.filter(({ kind, isAnswerAwaited, leaseEnd, server }) => {
			if (isAnswerAwaited || kind === 'stop') return true
			return leaseEnd + serverSteps.getClockLag(server, servers) > state.now
		})
		return { ...state, inFlight, owners: state.owners.map((owner) => ownerSteps.flush(owner)) }
	}

	private getOwnerActions(
		state: OwnershipState,
		owner: OwnerState,
		ownerIndex: number
	): OwnershipAction[] {
		const { remaining, now } = state
		const actions: OwnershipAction[] = []
		const isLatest = ownerIndex === state.owners.length - 1
		if (!isLatest) actions.push({ kind: 'learn-of-takeover', owner: ownerIndex })
		if (owner.listing) actions.push({ kind: 'read-listing', owner: ownerIndex })
		for (const [task, owned] of owner.tasks.entries()) {
			actions.push(...this.getTaskActions(state, owner, ownerIndex, { task, owned }))
		}
		const canList = remaining.listings > 0 && this.canAct(owner, now)
		for (let server = 0; server < this.bounds.servers; server += 1) {
			const isKnown = owner.incarnations[server] !== 0
			const hasTasks = owner.tasks.some(({ status }) => ownerSteps.isAt(status, server))
			if (canList && !owner.listing) actions.push({ kind: 'list', owner: ownerIndex, server })
			if (canList && isKnown && hasTasks && remaining.unanswered > 0) {
				actions.push({ kind: 'renew-late', owner: ownerIndex, server })
			}
			const haveLeasesExpired = now >= (owner.leasedUntil[server] ?? 0)
			const canDeclareLost = haveLeasesExpired || this.bug === 'lost-before-leases-end'
			if (hasTasks && canDeclareLost)
				actions.push({ kind: 'declare-lost', owner: ownerIndex, server })
		}
		return actions
	}

	private getTaskActions(
		state: OwnershipState,
		owner: OwnerState,
		ownerIndex: number,
		{ task, owned }: { task: number; owned: OwnedTask }
	): OwnershipAction[] {
		const { status, orderState, version } = owned
		const actions: OwnershipAction[] = []
		if (status.phase === 'waiting' && state.remaining.placements > 0 && this.hasCapacity(owner)) {
			for (const [server, incarnation] of owner.incarnations.entries()) {
				if (incarnation !== 0) actions.push({ kind: 'place', owner: ownerIndex, task, server })
			}
		}
		if (status.phase !== 'placed') return actions
		const isDurable = owner.durableVersion >= version || this.bug === 'started-before-durable'
		if (orderState === 'recorded' && isDurable && this.canAct(owner, state.now)) {
			actions.push({ kind: 'start', owner: ownerIndex, task })
		}
		const isStopInFlight = state.inFlight.some(
			(message) => message.kind === 'stop' && message.task === task && message.term === owner.term
		)
		if (orderState === 'unclear' && !isStopInFlight)
			actions.push({ kind: 'stop', owner: ownerIndex, task })
		return actions
	}

	/**
	 * Returns whether an owner may send orders. It may not once a later owner may rely on the end of
	 * its leases.
	 */
	private canAct(owner: OwnerState, now: number): boolean {
		if (this.bug === 'suspended-owner-renews') return true
		return now - owner.logAnsweredAt < ticks.maximumOwnerSilence
	}

	private hasCapacity(owner: OwnerState): boolean {
		const counted = owner.tasks.filter(({ status, orderState }) => {
			if (status.phase !== 'placed') return false
			return this.bug !== 'limit-counts-only-confirmed' || orderState === 'confirmed'
		})
		return counted.length < this.bounds.limit
	}

	private createOwner(
		term: number,
		token: number,
		now: number,
		tasks: OwnershipState['log']['tasks']
	): OwnerState {
		const { servers } = this.bounds
		return ownerSteps.create({ term, token, now, servers, tasks, bug: this.bug })
	}

	/** Lets another instance become the owner: it raises the fencing token and reads the log. */
	private takeOver(state: OwnershipState): OwnershipState {
		const term = state.owners.length + 1
		const token = this.bug === 'token-not-raised' ? state.log.token : state.log.token + 1
		const owner = this.createOwner(term, token, state.now, state.log.tasks)
		const log = { ...state.log, token }
		return { ...stateSteps.decrement(state, 'takeovers'), log, owners: [...state.owners, owner] }
	}

	/** Carries out an append. A fenced one ends the term of its owner. */
	private completeAppend(state: OwnershipState, ownerIndex: number): OwnershipState {
		const owner = state.owners[ownerIndex]
		if (!owner?.append) return state
		const { version, tasks } = owner.append
		const isFenced = owner.token < state.log.token && this.bug !== 'append-not-fenced'
		const next = stateSteps.updateOwner(state, ownerIndex, (current) => {
			const answered = { ...current, append: undefined }
			if (isFenced || !current.isActive) return ownerSteps.endTerm(answered)
			return { ...answered, durableVersion: version }
		})
		if (isFenced) return next
		const overwrittenTask = state.log.tasks.findIndex(
			({ phase }, task) => phase === 'done' && tasks[task]?.phase !== 'done'
		)
		const appended = { ...next, log: { ...next.log, tasks } }
		if (overwrittenTask < 0) return appended
		return stateSteps.recordViolation(
			appended,
			'recorded-end-stays',
			`the end of task ${overwrittenTask} was overwritten`
		)
	}

	private start(state: OwnershipState, ownerIndex: number, task: number): OwnershipState {
		const owner = state.owners[ownerIndex]
		const status = owner?.tasks[task]?.status
		if (!owner || !status) return state
		const next = stateSteps.updateOwner(state, ownerIndex, (current) => {
			const sent = ownerSteps.setOrderState(current, task, 'sent')
			return ownerSteps.recordLease(sent, status.server, state.now, this.bug)
		})
		const leaseEnd = state.now + ticks.lease
		const { server, attempt } = status
		return orderSteps.send(next, owner, {
			kind: 'start',
			server,
			task,
			attempt,
			leaseEnd,
			isAnswerAwaited: true,
		})
	}

	private deliver(state: OwnershipState, index: number): OwnershipState {
		const message = state.inFlight[index]
		const server = message && state.servers[message.server]
		if (!server) return state
		const clockLag = serverSteps.getClockLag(message.server, this.bounds.servers)
		const handled = serverSteps.handleMessage(server, message, state.now, clockLag)
		let next: OwnershipState = {
			...state,
			inFlight: state.inFlight.filter((_, at) => at !== index),
			servers: replaceAt(state.servers, message.server, handled.server),
		}
		if (handled.result !== 'fenced' && handled.server !== server && message.term < server.term) {
			next = stateSteps.recordViolation(
				next,
				'stale-owner-refused',
				`a message of term ${message.term} was accepted after one of a later term`
			)
		}
		const ownerIndex = state.owners.findIndex(({ term }) => term === message.term)
		return message.isAnswerAwaited
			? orderSteps.answer(next, ownerIndex, message, handled.result)
			: next
	}

	/**
	 * Carries out a listing request, which also renews leases and acknowledges durable ends. The
	 * owner may read the answer later.
	 */
	private list(state: OwnershipState, ownerIndex: number, serverIndex: number): OwnershipState {
		const owner = state.owners[ownerIndex]
		const server = state.servers[serverIndex]
		if (!owner || !server) return state
		const next = stateSteps.decrement(state, 'listings')
		if (owner.token < server.token)
			return stateSteps.updateOwner(next, ownerIndex, (owner) => ownerSteps.endTerm(owner))
		const { incarnations, listingCount } = owner
		const renews = incarnations[serverIndex] === server.incarnation
		const clockLag = serverSteps.getClockLag(serverIndex, this.bounds.servers)
		const leaseEnd = renews ? state.now + ticks.lease + clockLag : 0
		const listed = {
			...server,
			token: owner.token,
			term: Math.max(server.term, owner.term),
			leaseEnd: Math.max(server.leaseEnd, leaseEnd),
			ended: server.ended.filter((end) => !this.isAcknowledged(owner, serverIndex, end)),
		}
		const { incarnation, running, ended } = listed
		const answered = stateSteps.updateOwner(
			{ ...next, servers: replaceAt(next.servers, serverIndex, listed) },
			ownerIndex,
			(current) => {
				const extended = renews
					? ownerSteps.recordLease(current, serverIndex, state.now, this.bug)
					: current
				const listing = {
					server: serverIndex,
					sequence: listingCount + 1,
					incarnation,
					running,
					ended,
				}
				return { ...extended, listingCount: listingCount + 1, listing }
			}
		)
		return stateSteps.checkForgotten(
			answered,
			serverIndex,
			server.ended.filter((end) => !ended.includes(end))
		)
	}

	private isAcknowledged(
		owner: OwnerState,
		server: number,
		{ task, attempt }: { task: number; attempt: number }
	): boolean {
		return owner.ends.some(
			(known) =>
				known.server === server &&
				known.end.task === task &&
				known.end.attempt === attempt &&
				(known.version <= owner.durableVersion || this.bug === 'acknowledged-before-durable')
		)
	}

	/** Sends a renewal that gets no answer and may arrive at any time or never. */
	private renewLate(state: OwnershipState, ownerIndex: number, server: number): OwnershipState {
		const owner = state.owners[ownerIndex]
		if (!owner) return state
		const next = stateSteps.updateOwner(
			stateSteps.decrement(stateSteps.decrement(state, 'unanswered'), 'listings'),
			ownerIndex,
			(current) => ownerSteps.recordLease(current, server, state.now, this.bug)
		)
		const leaseEnd = state.now + ticks.lease
		return orderSteps.send(next, owner, {
			kind: 'renew',
			server,
			task: 0,
			attempt: 0,
			leaseEnd,
			isAnswerAwaited: false,
		})
	}

	private readListing(state: OwnershipState, ownerIndex: number): OwnershipState {
		const owner = state.owners[ownerIndex]
		const server = owner?.listing?.server
		if (!owner || server === undefined) return state
		const { owner: after, unwanted } = ownerSteps.readListing(owner, this.bug)
		const next = stateSteps.updateOwner(state, ownerIndex, () => after)
		return unwanted.reduce((at, [task, attempt]) => {
			const order = {
				kind: 'stop',
				server,
				task,
				attempt,
				leaseEnd: 0,
				isAnswerAwaited: false,
			} as const
			return orderSteps.send(at, after, order)
		}, next)
	}

	private checkLimit({ servers }: OwnershipState): string | undefined {
		const running = servers.reduce((sum, server) => sum + server.running.length, 0)
		return running > this.bounds.limit ? `${running} runs at once` : undefined
	}
}
