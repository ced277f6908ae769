import type { BackendServerId } from '../ids/BackendServerId.js'
import type { PoolId } from '../ids/PoolId.js'
import type { FleetState } from '../state/FleetState.js'
import type { Placement } from '../state/Placement.js'
import type { Milliseconds } from '../time/Milliseconds.js'
import { AvailabilityLedger } from '../waves/AvailabilityLedger.js'
import type { MaintenanceEvidence } from '../waves/MaintenanceEvidence.js'
import { createMovePolicyInput } from './createMovePolicyInput.js'
import type { MovePlannerOptions } from './MovePlannerOptions.js'
import type { MovePolicy } from './MovePolicy.js'
import type { PlannedMoveStep } from './PlannedMoveStep.js'
import type { PoolDemand } from './PoolDemand.js'
import type { PoolMove } from './PoolMove.js'

const MAXIMUM_CONCURRENT_MOVES = 8

/**
 * Carries moves forward that the log has under way, whoever began them, and begins those that its
 * policy asks for.
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
	 * Steps that are due.
	 *
	 * @param demands - fleet-wide demand by pool
	 * @param now - instant of the proposer's monotonic clock
	 */
	plan(
		state: FleetState,
		evidence: MaintenanceEvidence,
		demands: ReadonlyMap<PoolId, PoolDemand>,
		now: Milliseconds
	): readonly PlannedMoveStep[] {
		const ledger = new AvailabilityLedger(state)
		const moves = this.policy.plan(createMovePolicyInput(state, ledger, demands, now))
		const started = planNextSteps(state, evidence, ledger)
		const room = this.maximumConcurrentMoves - countMovesInProgress(state)
		const begun = planDrains(state, evidence, ledger, moves.slice(0, Math.max(0, room)))
		return [...started, ...begun]
	}
}

function planNextSteps(
	state: FleetState,
	evidence: MaintenanceEvidence,
	ledger: AvailabilityLedger
): PlannedMoveStep[] {
	const steps: PlannedMoveStep[] = []
	for (const [backendServer, placement] of state.placements) {
		const { pool, activity } = placement
		const since = placement.since?.offset ?? 0
		if (activity.type === 'joining') {
			if (ledger.health.getHealth(backendServer) !== 'healthy') continue
			if (!evidence.isReady(backendServer)) continue
			steps.push({ backendServer, from: activity.from, to: pool, step: 'finish', since })
			continue
		}
		if (activity.type !== 'draining' || activity.reason !== 'move') continue
		const { to } = activity
		const isBroken = !state.pools.has(to) || ledger.checkBudget(pool) !== undefined
		if (isBroken) steps.push({ backendServer, from: pool, to, step: 'abort', since })
		else if (evidence.isDrained(backendServer)) {
			steps.push({ backendServer, from: pool, to, step: 'reassign', since })
		}
	}
	return steps
}

function countMovesInProgress(state: FleetState): number {
	let moving = 0
	for (const { activity } of state.placements.values()) {
		if (activity.type === 'joining') moving += 1
		if (activity.type === 'draining' && activity.reason === 'move') moving += 1
	}
	return moving
}

function planDrains(
	state: FleetState,
	evidence: MaintenanceEvidence,
	ledger: AvailabilityLedger,
	moves: readonly PoolMove[]
): PlannedMoveStep[] {
	const steps: PlannedMoveStep[] = []
	for (const { from, to } of moves) {
		const backendServer = findLeastBusy(state, evidence, ledger, from)
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
	evidence: MaintenanceEvidence,
	ledger: AvailabilityLedger,
	pool: PoolId
): BackendServerId | undefined {
	let best: BackendServerId | undefined
	let fewest = Infinity
	for (const [backendServer, placement] of state.placements) {
		if (placement.pool !== pool || !ledger.isAvailable(backendServer)) continue
		const running = evidence.countRunning(backendServer)
		if (running >= fewest) continue
		fewest = running
		best = backendServer
	}
	return best
}

function getActivityOffset(placement: Placement | undefined): number {
	return placement?.since?.offset ?? 0
}
