import type { PoolId } from '../ids/PoolId.js'
import type { Milliseconds } from '../time/Milliseconds.js'
import { ArrivalHistory } from './ArrivalHistory.js'
import type { ForecastMovePolicyOptions } from './ForecastMovePolicyOptions.js'
import { MovePolicy } from './MovePolicy.js'
import type { MovePolicyInput } from './MovePolicyInput.js'
import type { PoolMove } from './PoolMove.js'
import type { PoolCapacity } from './PoolCapacity.js'

/** Default of {@link ForecastMovePolicyOptions.window}. */
const DEFAULT_WINDOW: Milliseconds = 600_000
/** Default of {@link ForecastMovePolicyOptions.interval}. */
const DEFAULT_INTERVAL: Milliseconds = 5_000
/** Default budget of moves: a minimum per hour, or a number per backend server if that is higher. */
const MINIMUM_MOVES_PER_HOUR = 60
const MOVES_PER_HOUR_PER_SERVER = 1.2
const MILLISECONDS_PER_HOUR = 3_600_000
/** Fraction of the tolerated wait that targets may use up, at equal weights. */
const WAIT_FRACTION = 0.7
/** Time for which a pool must have a surplus before servers leave it, at equal weights. */
const SURPLUS_HOLD_TIME: Milliseconds = 60_000
/** Maximum moves that may start at once, as a fraction of the hourly budget. */
const BURST_FRACTION = 1 / 6
/** Time span of a pool's history that is needed before servers leave it. */
const MINIMUM_HISTORY: Milliseconds = 120_000

interface PoolTarget {
	readonly capacity: PoolCapacity
	/** Number of backend servers that the pool should have. */
	readonly target: number
}

/**
 * Sizes each pool for its arrivals of the last minutes and the wait that its queues tolerate. It does
 * not size for the peak rate, because queues partly absorb peaks of a few seconds. Pools below their
 * target get servers from spare pools, then from pools that have long had a surplus, within a budget of
 * moves per hour.
 *
 * @public
 */
export class ForecastMovePolicy extends MovePolicy {
	override readonly name = 'forecast'
	private readonly window: Milliseconds
	private readonly interval: Milliseconds
	private readonly movesPerHour: number | undefined
	/** Factor by which the weights scale the hourly budget of moves. */
	private readonly moveFactor: number
	private readonly waitFraction: number
	private readonly surplusHoldTime: Milliseconds
	private readonly histories = new Map<PoolId, ArrivalHistory>()
	/** Time since which a pool has had more servers than its target, by pool. */
	private readonly surplusSince = new Map<PoolId, Milliseconds>()
	private evaluatedAt = -Infinity
	/** Number of moves that may start now; the first refill reduces it to the maximum burst. */
	private moveTokens = Infinity

	constructor(options: ForecastMovePolicyOptions = {}) {
		super()
		const weights = options.weights ?? { shares: 1, moves: 1, buffer: 1 }
		this.window = options.window ?? DEFAULT_WINDOW
		this.interval = options.interval ?? DEFAULT_INTERVAL
		this.movesPerHour = options.movesPerHour
		this.moveFactor = weights.shares / weights.moves
		this.surplusHoldTime = (SURPLUS_HOLD_TIME * weights.moves) / weights.buffer
		this.waitFraction = Math.min(0.9, WAIT_FRACTION * Math.sqrt(weights.buffer / weights.shares))
	}

	override plan(input: MovePolicyInput): readonly PoolMove[] {
		for (const { pool, demand } of input.pools) this.getHistory(pool).add(input.now, demand)
		const elapsed = input.now - this.evaluatedAt
		if (elapsed < this.interval) return []
		this.evaluatedAt = input.now
		this.refillTokens(input, elapsed)
		const targets = input.pools.map((capacity) => this.computeTarget(capacity, input.now))
		return this.planMoves(targets, input.now)
	}

	private refillTokens({ pools }: MovePolicyInput, elapsed: Milliseconds): void {
		const servers = pools.reduce((sum, pool) => sum + pool.available + pool.arriving, 0)
		const defaultPerHour = Math.max(MINIMUM_MOVES_PER_HOUR, servers * MOVES_PER_HOUR_PER_SERVER)
		const perHour = (this.movesPerHour ?? defaultPerHour) * this.moveFactor
		const refill = (Math.min(elapsed, MILLISECONDS_PER_HOUR) * perHour) / MILLISECONDS_PER_HOUR
		this.moveTokens = Math.min(perHour * BURST_FRACTION, this.moveTokens + refill)
	}

	private getHistory(pool: PoolId): ArrivalHistory {
		const existing = this.histories.get(pool)
		if (existing) return existing
		const history = new ArrivalHistory(this.window)
		this.histories.set(pool, history)
		return history
	}

	private computeTarget(capacity: PoolCapacity, now: Milliseconds): PoolTarget {
		const usableWait = capacity.demand.toleratedWait * this.waitFraction
		const requiredSlots = this.getHistory(capacity.pool).getRequiredSlots(
			usableWait,
			capacity.slotsPerServer
		)
		const poolTarget = { capacity, target: Math.ceil(requiredSlots / capacity.slotsPerServer) }
		if (capacity.available <= poolTarget.target) this.surplusSince.delete(capacity.pool)
		else if (!this.surplusSince.has(capacity.pool)) this.surplusSince.set(capacity.pool, now)
		return poolTarget
	}

	private planMoves(targets: readonly PoolTarget[], now: Milliseconds): readonly PoolMove[] {
		const moves: PoolMove[] = []
		const movable = new Map(
			targets.map((target) => [target.capacity.pool, this.countMovable(target, now)])
		)
		const donors = targets
			.map(({ capacity }) => capacity)
			.sort((a, b) => Number(b.spare) - Number(a.spare) || b.available - a.available)
		for (const receiver of [...targets].sort((a, b) => getShortfall(b) - getShortfall(a))) {
			for (
				let missing = countMissing(receiver);
				missing > 0 && this.moveTokens >= 1;
				missing -= 1
			) {
				const donor = donors.find(({ pool }) => (movable.get(pool) ?? 0) > 0)
				if (!donor) return moves
				movable.set(donor.pool, (movable.get(donor.pool) ?? 0) - 1)
				this.moveTokens -= 1
				moves.push({ from: donor.pool, to: receiver.capacity.pool })
			}
		}
		return moves
	}

	private countMovable({ capacity, target }: PoolTarget, now: Milliseconds): number {
		const surplus = Math.min(capacity.movable, capacity.available - target)
		if (surplus <= 0) return 0
		if (capacity.spare) return surplus
		if (this.getHistory(capacity.pool).span < MINIMUM_HISTORY) return 0
		const since = this.surplusSince.get(capacity.pool) ?? now
		return now - since >= this.surplusHoldTime ? surplus : 0
	}
}

function countMissing({ capacity, target }: PoolTarget): number {
	return target - capacity.available - capacity.arriving
}

/** Returns the fraction of its target that a pool lacks. */
function getShortfall(poolTarget: PoolTarget): number {
	return countMissing(poolTarget) / Math.max(1, poolTarget.target)
}
