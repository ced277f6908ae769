import type { BackendServerId } from '../ids/BackendServerId.js'
import type { PoolId } from '../ids/PoolId.js'
import type { FleetState } from '../state/FleetState.js'
import type { Placement } from '../state/Placement.js'
import type { Milliseconds } from '../time/Milliseconds.js'
import { AvailabilityLedger } from '../waves/AvailabilityLedger.js'
import type { MaintenanceMonitor } from '../waves/MaintenanceMonitor.js'
import { createMovePolicyInput } from './createMovePolicyInput.js'
import type { MovePlannerOptions } from './MovePlannerOptions.js'
import type { MovePolicy } from './MovePolicy.js'
import type { PlannedMoveStep } from './PlannedMoveStep.js'
import type { PoolDemand } from './PoolDemand.js'
import type { PoolMove } from './PoolMove.js'

/** Default of {@link MovePlannerOptions.maximumConcurrentMoves}. */
const MAXIMUM_CONCURRENT_MOVES = 8

/**
 * Continues the moves that are in progress according to the log, whichever instance started them, and
 * starts the moves that the policy plans.
 *
 * @public
 */
export class MovePlanner {
	private readonly maximumConcurrentMoves: number

	constructor(
		private readonly policy: MovePolicy,
		options: MovePlannerOptions = {}
	) {
		this.maximumConcurrentMoves = options.maximumConcurrentMoves ?? MAXIMUM_CONCURRENT_MOVES
	}

	/**
	 * Returns the steps to propose now.
	 *
	 * @param demands - fleet-wide demand by pool
	 * @param now - time on the proposer's monotonic clock
	 */
	plan(
		state: FleetState,
		monitor: MaintenanceMonitor,
		demands: ReadonlyMap<PoolId, PoolDemand>,
		now: Milliseconds
	): readonly PlannedMoveStep[] {
		const ledger = new AvailabilityLedger(state)
		const moves = this.policy.plan(createMovePolicyInput(state, ledger, demands, now))
		const nextSteps = planNextSteps(state, monitor, ledger)
		const remainingMoves = this.maximumConcurrentMoves - countMovesInProgress(state)
		const drains = planDrains(state, monitor, ledger, moves.slice(0, Math.max(0, remainingMoves)))
		return [...nextSteps, ...drains]
	}
}

function planNextSteps(
	state: FleetState,
	monitor: MaintenanceMonitor,
	ledger: AvailabilityLedger
): PlannedMoveStep[] {
	const steps: PlannedMoveStep[] = []
	for (const [backendServer, placement] of state.placements) {
		const { pool, activity } = placement
		const since = placement.since?.offset ?? 0
		if (activity.type === 'joining') {
			if (ledger.health.getHealth(backendServer) !== 'healthy') continue
			if (!monitor.isReady(backendServer)) continue
			steps.push({ backendServer, from: activity.from, to: pool, step: 'finish', since })
			continue
		}
		if (activity.type !== 'draining' || activity.reason !== 'move') continue
		const { to } = activity
		const mustAbort = !state.pools.has(to) || ledger.checkBudget(pool) !== undefined
		if (mustAbort) steps.push({ backendServer, from: pool, to, step: 'abort', since })
		else if (monitor.isDrained(backendServer)) {
			steps.push({ backendServer, from: pool, to, step: 'reassign', since })
		}
	}
	return steps
}

function countMovesInProgress(state: FleetState): number {
	let count = 0
	for (const { activity } of state.placements.values()) {
		if (activity.type === 'joining') count += 1
		if (activity.type === 'draining' && activity.reason === 'move') count += 1
	}
	return count
}

function planDrains(
	state: FleetState,
	monitor: MaintenanceMonitor,
	ledger: AvailabilityLedger,
	moves: readonly PoolMove[]
): PlannedMoveStep[] {
	const steps: PlannedMoveStep[] = []
	for (const { from, to } of moves) {
		const backendServer = findLeastBusy(state, monitor, ledger, from)
		if (backendServer === undefined) continue
		if (ledger.checkDrain(backendServer) !== undefined) continue
		ledger.markUnavailable(backendServer)
		const since = getActivityOffset(state.placements.get(backendServer))
		steps.push({ backendServer, from, to, step: 'drain', since })
	}
	return steps
}

function findLeastBusy(
	state: FleetState,
	monitor: MaintenanceMonitor,
	ledger: AvailabilityLedger,
	pool: PoolId
): BackendServerId | undefined {
	let leastBusy: BackendServerId | undefined
	let fewestRunning = Infinity
	for (const [backendServer, placement] of state.placements) {
		if (placement.pool !== pool || !ledger.isAvailable(backendServer)) continue
		const running = monitor.countRunning(backendServer)
		if (running >= fewestRunning) continue
		fewestRunning = running
		leastBusy = backendServer
	}
	return leastBusy
}

function getActivityOffset(placement: Placement | undefined): number {
	return placement?.since?.offset ?? 0
}
