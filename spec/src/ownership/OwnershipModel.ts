import { Model } from '../Model.js'
import type { OwnedTask } from './OwnedTask.js'
import type { OwnerState } from './OwnerState.js'
import type { OwnershipAction } from './OwnershipAction.js'
import type { OwnershipBounds } from './OwnershipBounds.js'
import type { OwnershipMistake } from './OwnershipMistake.js'
import type { OwnershipState } from './OwnershipState.js'
import { checks } from './checks.js'
import { orderSteps } from './orderSteps.js'
import { stateSteps } from './stateSteps.js'
import { ownerSteps } from './ownerSteps.js'
import { replaceAt } from './replaceAt.js'
import { serverSteps } from './serverSteps.js'
import { ticks } from './ticks.js'

/**
 * Ownership, fences, leases and attempts of the job path: owners that are replaced without knowing
 * it, pause and go on; appends and orders that are carried out late; backend servers that are born
 * again or whose clock is slow.
 *
 * @public
 */
export class OwnershipModel extends Model<OwnershipState, OwnershipAction> {
	override readonly name = 'ownership of jobs'
	override readonly invariants = new Map<string, (state: OwnershipState) => string | undefined>([
		['no-task-twice-at-once', (state) => checks.checkOnce(state)],
		['none-after-done', (state) => checks.checkDone(state)],
		['limit-held', (state) => this.checkLimit(state)],
		['no-end-lost', (state) => checks.getFault(state, 'no-end-lost')],
		['recorded-end-stays', (state) => checks.getFault(state, 'recorded-end-stays')],
		['newest-owner-rules', (state) => checks.getFault(state, 'newest-owner-rules')],
	])

	constructor(
		private readonly bounds: OwnershipBounds,
		private readonly mistake?: OwnershipMistake
	) {
		super()
	}

	override createInitial(): OwnershipState {
		const { tasks, servers, turns, placements, restarts, finishes } = this.bounds
		const { listings, unanswered } = this.bounds
		const views = Array.from(
			{ length: tasks },
			() => ({ phase: 'waiting', server: 0, attempt: 0 }) as const
		)
		const owner = this.createOwner(1, 1, 0, views)
		return {
			now: 0,
			left: { turns, placements, restarts, finishes, listings, unanswered },
			log: { token: 1, tasks: views },
			owners: [
				{
					...owner,
					incarnations: owner.incarnations.map(() => 1),
					leasedUntil: owner.leasedUntil.map(() => 0),
				},
			],
			servers: Array.from({ length: servers }, () => serverSteps.create(tasks)),
			flight: [],
			fault: undefined,
		}
	}

	override getActions(state: OwnershipState): OwnershipAction[] {
		const { left, flight, owners, servers } = state
		const actions: OwnershipAction[] = []
		if (state.now < this.bounds.ticks) actions.push({ kind: 'tick' })
		if (left.turns > 0) actions.push({ kind: 'turn' })
		for (const [place, owner] of owners.entries()) {
			if (owner.append) actions.push({ kind: 'land', owner: place })
			if (owner.alive) actions.push(...this.getOwnerActions(state, owner, place))
		}
		for (const [index, message] of flight.entries()) {
			actions.push({ kind: 'deliver', index })
			if (message.open && left.unanswered > 0) actions.push({ kind: 'give-up', index })
		}
		for (const [server, { running }] of servers.entries()) {
			if (running.length > 0 && left.finishes > 0) actions.push({ kind: 'finish', server })
			if (left.restarts > 0) actions.push({ kind: 'restart', server })
		}
		return actions
	}

	override apply(state: OwnershipState, action: OwnershipAction): OwnershipState {
		return this.normalize(this.carryOut(state, action))
	}

	private carryOut(state: OwnershipState, action: OwnershipAction): OwnershipState {
		switch (action.kind) {
			case 'tick':
				return stateSteps.tick(state)
			case 'turn':
				return this.turn(state)
			case 'learn':
				return stateSteps.change(state, action.owner, (owner) => ownerSteps.die(owner))
			case 'place': {
				const next = stateSteps.spend(state, 'placements')
				return stateSteps.change(next, action.owner, (owner) =>
					ownerSteps.place(owner, action.task, action.server)
				)
			}
			case 'land':
				return this.land(state, action.owner)
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
			case 'read':
				return this.read(state, action.owner)
			case 'declare-lost':
				return stateSteps.change(state, action.owner, (owner) =>
					ownerSteps.loseAll(owner, action.server)
				)
			case 'finish':
				return stateSteps.changeServer(
					stateSteps.spend(state, 'finishes'),
					action.server,
					(server) => serverSteps.finish(server)
				)
			case 'restart':
				return stateSteps.changeServer(
					stateSteps.spend(state, 'restarts'),
					action.server,
					(server) => serverSteps.restart(server)
				)
		}
	}

	/**
	 * Sends the appends that are due, and leaves out what can make no difference any more: calls
	 * whose lease has run out, and what an owner that has ended knew.
	 */
	private normalize(state: OwnershipState): OwnershipState {
		const { servers } = this.bounds
		const flight = state.flight.filter(({ kind, open, leaseEnd, server }) => {
			if (open || kind === 'stop') return true
			return leaseEnd + serverSteps.getSlowness(server, servers) > state.now
		})
		return { ...state, flight, owners: state.owners.map((owner) => ownerSteps.flush(owner)) }
	}

	private getOwnerActions(
		state: OwnershipState,
		owner: OwnerState,
		place: number
	): OwnershipAction[] {
		const { left, now } = state
		const actions: OwnershipAction[] = []
		const isLatest = place === state.owners.length - 1
		if (!isLatest) actions.push({ kind: 'learn', owner: place })
		if (owner.listing) actions.push({ kind: 'read', owner: place })
		for (const [task, owned] of owner.tasks.entries()) {
			actions.push(...this.getTaskActions(state, owner, place, { task, owned }))
		}
		const mayList = left.listings > 0 && this.mayAct(owner, now)
		for (let server = 0; server < this.bounds.servers; server += 1) {
			const isKnown = owner.incarnations[server] !== 0
			const holds = owner.tasks.some(({ view }) => ownerSteps.isAt(view, server))
			if (mayList && !owner.listing) actions.push({ kind: 'list', owner: place, server })
			if (mayList && isKnown && holds && left.unanswered > 0) {
				actions.push({ kind: 'renew-late', owner: place, server })
			}
			const hasEnded = now >= (owner.leasedUntil[server] ?? 0)
			const isOver = hasEnded || this.mistake === 'lost-before-leases-end'
			if (holds && isOver) actions.push({ kind: 'declare-lost', owner: place, server })
		}
		return actions
	}

	private getTaskActions(
		state: OwnershipState,
		owner: OwnerState,
		place: number,
		{ task, owned }: { task: number; owned: OwnedTask }
	): OwnershipAction[] {
		const { view, stage, version } = owned
		const actions: OwnershipAction[] = []
		if (view.phase === 'waiting' && state.left.placements > 0 && this.hasRoom(owner)) {
			for (const [server, incarnation] of owner.incarnations.entries()) {
				if (incarnation !== 0) actions.push({ kind: 'place', owner: place, task, server })
			}
		}
		if (view.phase !== 'placed') return actions
		const isDurable = owner.saved >= version || this.mistake === 'started-before-durable'
		if (stage === 'recorded' && isDurable && this.mayAct(owner, state.now)) {
			actions.push({ kind: 'start', owner: place, task })
		}
		const isUnderWay = state.flight.some(
			(message) => message.kind === 'stop' && message.task === task && message.term === owner.term
		)
		if (stage === 'unclear' && !isUnderWay) actions.push({ kind: 'stop', owner: place, task })
		return actions
	}

	/** An owner acts only while no other can count on the end of its leases. */
	private mayAct(owner: OwnerState, now: number): boolean {
		if (this.mistake === 'suspended-owner-renews') return true
		return now - owner.contact < ticks.ownerSilence
	}

	private hasRoom(owner: OwnerState): boolean {
		const counted = owner.tasks.filter(({ view, stage }) => {
			if (view.phase !== 'placed') return false
			return this.mistake !== 'limit-counts-confirmed' || stage === 'confirmed'
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
		return ownerSteps.create({ term, token, now, servers, tasks, mistake: this.mistake })
	}

	/** Another instance raises the fence and reads what the log holds. */
	private turn(state: OwnershipState): OwnershipState {
		const term = state.owners.length + 1
		const token = this.mistake === 'token-kept' ? state.log.token : state.log.token + 1
		const owner = this.createOwner(term, token, state.now, state.log.tasks)
		const log = { ...state.log, token }
		return { ...stateSteps.spend(state, 'turns'), log, owners: [...state.owners, owner] }
	}

	private land(state: OwnershipState, place: number): OwnershipState {
		const owner = state.owners[place]
		if (!owner?.append) return state
		const { version, tasks } = owner.append
		const isFenced = owner.token < state.log.token && this.mistake !== 'append-not-fenced'
		const next = stateSteps.change(state, place, (known) => {
			const answered = { ...known, append: undefined }
			if (isFenced || !known.alive) return ownerSteps.die(answered)
			return { ...answered, saved: version }
		})
		if (isFenced) return next
		const taken = state.log.tasks.findIndex(
			({ phase }, task) => phase === 'done' && tasks[task]?.phase !== 'done'
		)
		const landed = { ...next, log: { ...next.log, tasks } }
		if (taken < 0) return landed
		return stateSteps.blame(
			landed,
			'recorded-end-stays',
			`the end of task ${taken} was overwritten`
		)
	}

	private start(state: OwnershipState, place: number, task: number): OwnershipState {
		const owner = state.owners[place]
		const view = owner?.tasks[task]?.view
		if (!owner || !view) return state
		const next = stateSteps.change(state, place, (known) => {
			const sent = ownerSteps.setStage(known, task, 'sent')
			return ownerSteps.noteLease(sent, view.server, state.now, this.mistake)
		})
		const leaseEnd = state.now + ticks.lease
		const { server, attempt } = view
		return orderSteps.send(next, owner, {
			kind: 'start',
			server,
			task,
			attempt,
			leaseEnd,
			open: true,
		})
	}

	private deliver(state: OwnershipState, index: number): OwnershipState {
		const message = state.flight[index]
		const server = message && state.servers[message.server]
		if (!server) return state
		const slow = serverSteps.getSlowness(message.server, this.bounds.servers)
		const taken = serverSteps.take(server, message, state.now, slow)
		let next: OwnershipState = {
			...state,
			flight: state.flight.filter((_, at) => at !== index),
			servers: replaceAt(state.servers, message.server, taken.server),
		}
		if (taken.result !== 'fenced' && taken.server !== server && message.term < server.term) {
			next = stateSteps.blame(
				next,
				'newest-owner-rules',
				`an order of term ${message.term} was obeyed`
			)
		}
		const place = state.owners.findIndex(({ term }) => term === message.term)
		return message.open ? orderSteps.answer(next, place, message, taken.result) : next
	}

	/** A call of which the answer comes, but may be read only later. */
	private list(state: OwnershipState, place: number, number: number): OwnershipState {
		const owner = state.owners[place]
		const server = state.servers[number]
		if (!owner || !server) return state
		const next = stateSteps.spend(state, 'listings')
		if (owner.token < server.token)
			return stateSteps.change(next, place, (owner) => ownerSteps.die(owner))
		const { incarnations, calls } = owner
		const renews = incarnations[number] === server.incarnation
		const slow = serverSteps.getSlowness(number, this.bounds.servers)
		const lapse = renews ? state.now + ticks.lease + slow : 0
		const listed = {
			...server,
			token: owner.token,
			term: Math.max(server.term, owner.term),
			lapse: Math.max(server.lapse, lapse),
			ended: server.ended.filter((end) => !this.isAcknowledged(owner, number, end)),
		}
		const { incarnation, running, ended } = listed
		const told = stateSteps.change(
			{ ...next, servers: replaceAt(next.servers, number, listed) },
			place,
			(at) => {
				const noted = renews ? ownerSteps.noteLease(at, number, state.now, this.mistake) : at
				const listing = { server: number, sentAt: calls + 1, incarnation, running, ended }
				return { ...noted, calls: calls + 1, listing }
			}
		)
		return stateSteps.checkForgotten(
			told,
			number,
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
				(known.version <= owner.saved || this.mistake === 'acknowledged-before-durable')
		)
	}

	/** A renewal that gets no answer and is carried out at some time, or never. */
	private renewLate(state: OwnershipState, place: number, server: number): OwnershipState {
		const owner = state.owners[place]
		if (!owner) return state
		const next = stateSteps.change(
			stateSteps.spend(stateSteps.spend(state, 'unanswered'), 'listings'),
			place,
			(known) => ownerSteps.noteLease(known, server, state.now, this.mistake)
		)
		const leaseEnd = state.now + ticks.lease
		return orderSteps.send(next, owner, {
			kind: 'renew',
			server,
			task: 0,
			attempt: 0,
			leaseEnd,
			open: false,
		})
	}

	private read(state: OwnershipState, place: number): OwnershipState {
		const owner = state.owners[place]
		const server = owner?.listing?.server
		if (!owner || server === undefined) return state
		const { owner: after, unwanted } = ownerSteps.read(owner, this.mistake)
		const next = stateSteps.change(state, place, () => after)
		return unwanted.reduce((at, [task, attempt]) => {
			const order = { kind: 'stop', server, task, attempt, leaseEnd: 0, open: false } as const
			return orderSteps.send(at, after, order)
		}, next)
	}

	private checkLimit({ servers }: OwnershipState): string | undefined {
		const running = servers.reduce((sum, server) => sum + server.running.length, 0)
		return running > this.bounds.limit ? `${running} run` : undefined
	}
}
