import { Fold } from '../fold/Fold.js'
import type { TeamId } from '../ids/TeamId.js'
import type { LogEntry } from '../log/LogEntry.js'
import type { Proposal } from '../log/Proposal.js'
import type { FleetState } from '../state/FleetState.js'
import type { Milliseconds } from '../time/Milliseconds.js'
import { TimerService } from '../time/TimerService.js'
import { AllowanceHolder } from './AllowanceHolder.js'
import { AllowancePlanner } from './AllowancePlanner.js'
import type { AllowanceUnit } from './AllowanceUnit.js'
import { getAllowanceTotal } from './getAllowanceTotal.js'
import { getCurrentRunBound } from './getCurrentRunBound.js'
import { LendingPolicy } from './LendingPolicy.js'
import type { LoanRequest } from './LoanRequest.js'

/** Longest delivery delay to a backend server, in milliseconds; less than `deliveryMargin`. */
const MAXIMUM_DELIVERY_DELAY = 9000

class SkewedTimerService extends TimerService {
	constructor(
		private readonly clock: { now: Milliseconds },
		private readonly rate: number
	) {
		super()
	}

	override now(): Milliseconds {
		return this.clock.now * this.rate
	}

	override after(): never {
		throw new Error('the simulation runs no timers')
	}

	override every(): never {
		throw new Error('the simulation runs no timers')
	}
}

/** Time after which a call to a peer times out, in milliseconds. */
const PEER_CALL_TIMEOUT = 1000

/** Clock rate of the slowest backend server, relative to the platform clock. */
const SLOWEST_SERVER_RATE = 0.99

interface Node {
	readonly fold: Fold
	readonly holder: AllowanceHolder
	readonly planner: AllowancePlanner
	readonly timers: TimerService
	heartbeats: number
}

interface Run {
	readonly team: TeamId
	readonly unit: AllowanceUnit
	readonly node: Node
	readonly endsAt: Milliseconds
}

/**
 * Simulates a fleet of entry instances for tests, with real holders, planners and folds. Messages in
 * flight may be delivered in any order, more than once or never. Running requests are counted at the
 * backend servers and compared with the limits.
 *
 * @param options - `rates` has the clock rate of each entry instance, `limits` the limit of each team
 *
 * @internal
 */
export function createAllowanceSimulation(options: {
	readonly rates: readonly number[]
	readonly limits: readonly number[]
	readonly runMilliseconds: Milliseconds
}) {
	const clock = { now: 0 }
	const teams = options.limits.map((_, index) => `team-${index}`)
	const entries: LogEntry[] = []
	/** Changes of the fleet document, by the offset of the heartbeat entry that carries each. */
	const documentChanges = new Map<number, (state: FleetState) => void>()
	const unansweredRequests: { readonly abandonAt: Milliseconds; readonly abandon: () => void }[] =
		[]
	const primaryFold = createFold()
	const inFlight: (() => void)[] = []
	const started = { count: 0 }
	const runs = new Set<Run>()
	const runningByTeam = new Map<TeamId, number>()
	const allowanceByTeam = new Map<TeamId, number>()
	const violations: string[] = []
	const nodes: Node[] = options.rates.map((_, index) => createNode(index))
	let nodesCreated = options.rates.length

	function createFold(): Fold {
		const fold = new Fold()
		for (const [index, limit] of options.limits.entries()) {
			fold.state.teams.set(`team-${index}`, { name: `team-${index}`, share: 1, limit })
		}
		fold.state.runBounds = [{ runMilliseconds: options.runMilliseconds }]
		return fold
	}

	function createNode(index: number, name = `node-${index}`): Node {
		const timers = new SkewedTimerService(clock, options.rates[index] ?? 1)
		const holder = new AllowanceHolder(name, timers)
		const planner = new AllowancePlanner(holder, new LendingPolicy(), timers)
		const node = { fold: createFold(), holder, planner, timers, heartbeats: 0 }
		holder.trackRenewal(`${name}/join`)
		const where = { availabilityZone: 'a', peerAddress: '127.0.0.1:1' }
		propose({ kind: 'join', id: `${name}/join`, instance: name, ...where })
		return node
	}

	function propose(proposal: Proposal): void {
		inFlight.push(() => {
			const entry = { offset: entries.length, at: clock.now, proposal }
			entries.push(entry)
			applyEntry(primaryFold, entry)
			checkLimits()
		})
	}

	function applyEntry(fold: Fold, entry: LogEntry): void {
		fold.apply(entry)
		documentChanges.get(entry.offset)?.(fold.state)
	}

	/** Applies a change of the document at once, in place of an apply entry. */
	function applyDocument(change: (state: FleetState) => void): void {
		documentChanges.set(entries.length, change)
		propose({ kind: 'heartbeat', id: `document-${entries.length}`, instance: 'operator' })
		inFlight.pop()?.()
	}

	function getNode(index: number): Node {
		const node = nodes[index % nodes.length]
		if (!node) throw new Error('the simulation has no nodes')
		return node
	}

	function getTeam(index: number): TeamId {
		return teams[index % teams.length] ?? ''
	}

	function readLog(node: Node, limit: number): void {
		const from = node.fold.state.offset + 1
		for (const entry of entries.slice(from, from + limit)) applyEntry(node.fold, entry)
		node.holder.observe(node.fold.state)
	}

	function sendLoanRequest(node: Node, request: LoanRequest): void {
		const requestedAt = node.timers.now()
		inFlight.push(() => {
			const lender = nodes.find(({ holder }) => holder.instance === request.lender)
			if (!lender) return
			const reply = lender.planner.lend(lender.fold.state, request)
			inFlight.push(() => {
				node.planner.handleReply(request, reply, requestedAt)
			})
		})
		const abandon = () => {
			node.planner.handleReply(request, undefined, requestedAt)
		}
		unansweredRequests.push({ abandonAt: clock.now + PEER_CALL_TIMEOUT, abandon })
	}

	function tick(node: Node, queued: number): void {
		const demand = new Map(teams.map((team) => [team, queued]))
		const { changes, requests, returns } = node.planner.tick(node.fold.state, demand)
		const proposal = node.holder.createProposal(changes)
		if (proposal) propose(proposal)
		for (const request of requests) sendLoanRequest(node, request)
		for (const loanReturn of returns) {
			inFlight.push(() => {
				const lender = nodes.find(({ holder }) => holder.instance === loanReturn.lender)
				lender?.holder.acceptReturn(loanReturn)
				inFlight.push(() => {
					node.holder.borrower.confirmReturn(loanReturn)
				})
			})
		}
		inFlight.push(() => {
			for (const other of nodes) {
				const loads = teams.map(
					(team) => [team, node.planner.getLoad(node.fold.state, team)] as const
				)
				if (other !== node) other.planner.peerLoads.update(node.holder.instance, loads)
			}
		})
	}

	function start(node: Node, team: TeamId, count: number, delay: Milliseconds): void {
		for (let index = 0; index < count; index++) {
			const unit = node.planner.tryAcquire(team)
			if (!unit) return
			started.count++
			const run = getCurrentRunBound(node.fold.state) / SLOWEST_SERVER_RATE
			const endsAt = clock.now + Math.min(delay, MAXIMUM_DELIVERY_DELAY) + run
			runs.add({ team, unit, node, endsAt })
			runningByTeam.set(team, (runningByTeam.get(team) ?? 0) + 1)
		}
		checkLimits()
	}

	function finish(node: Node, count: number): void {
		for (const run of [...runs].filter((run) => run.node === node).slice(0, count)) {
			end(run)
		}
	}

	function end(run: Run): void {
		runs.delete(run)
		runningByTeam.set(run.team, (runningByTeam.get(run.team) ?? 0) - 1)
		run.node.holder.release(run.unit)
	}

	function advance(duration: Milliseconds): void {
		clock.now += duration
		for (const { abandonAt, abandon } of unansweredRequests.splice(0)) {
			if (abandonAt <= clock.now) abandon()
			else unansweredRequests.push({ abandonAt, abandon })
		}
		for (const run of runs) {
			if (run.endsAt > clock.now) continue
			end(run)
		}
	}

	function checkAllowanceTotal(team: TeamId, limit: number, total: number): void {
		const before = allowanceByTeam.get(team) ?? 0
		allowanceByTeam.set(team, total)
		if (total > Math.max(limit, before))
			violations.push(`${team}: ${total} granted, limit ${limit}`)
	}

	function checkLimits(): void {
		for (const team of teams) {
			const running = runningByTeam.get(team) ?? 0
			const limit = primaryFold.state.teams.get(team)?.limit ?? 0
			const total = getAllowanceTotal(primaryFold.state, team)
			checkAllowanceTotal(team, limit, total)
			if (running > Math.max(limit, total))
				violations.push(`${team}: ${running} run, limit ${limit}`)
		}
	}

	function deliver(index: number, fate: 'deliver' | 'duplicate' | 'drop'): void {
		const [message] = inFlight.splice(index % Math.max(1, inFlight.length), 1)
		if (!message || fate === 'drop') return
		if (fate === 'duplicate') inFlight.push(message)
		message()
	}

	return {
		violations,
		started,
		read: (index: number, limit: number) => {
			readLog(getNode(index), limit)
		},
		tick: (index: number, queued: number) => {
			tick(getNode(index), queued)
		},
		start: (index: number, team: number, count: number, delay: Milliseconds) => {
			start(getNode(index), getTeam(team), count, delay)
		},
		finish: (index: number, count: number) => {
			finish(getNode(index), count)
		},
		heartbeat: (index: number) => {
			const { holder } = getNode(index)
			const id = `${holder.instance}/${getNode(index).heartbeats++}`
			holder.trackRenewal(id)
			propose({ kind: 'heartbeat', id, instance: holder.instance })
		},
		leave: (index: number) => {
			const { holder } = getNode(index)
			if (!holder.canLeave()) return
			holder.stop()
			propose({ kind: 'leave', id: `${holder.instance}/leave`, instance: holder.instance })
		},
		/** Replaces an entry instance; the requests that it started continue to run. */
		replace: (index: number) => {
			const slot = index % nodes.length
			nodes[slot] = createNode(slot, `node-${nodesCreated++}`)
		},
		/** Applies a document with a different limit for a team. */
		setLimit: (team: number, limit: number) => {
			const name = getTeam(team)
			applyDocument((state) => state.teams.set(name, { name, share: 1, limit }))
		},
		/** Applies a document with a different run bound. */
		setRunBound: (runMilliseconds: Milliseconds) => {
			applyDocument((state) => {
				const replaced = state.runBounds.map((bound) => ({ replacedAt: state.at, ...bound }))
				state.runBounds = [...replaced, { runMilliseconds }]
			})
		},
		deliver,
		/** Delivers the messages that are in flight at the call, oldest first. */
		deliverAll: () => {
			for (const message of inFlight.splice(0)) message()
		},
		advance,
	}
}
