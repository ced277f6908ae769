import type { PoolId } from '../ids/PoolId.js'
import type { Milliseconds } from '../time/Milliseconds.js'
import { ArrivalHistory } from './ArrivalHistory.js'
import type { ForecastMovePolicyOptions } from './ForecastMovePolicyOptions.js'
import { MovePolicy } from './MovePolicy.js'
import type { MovePolicyInput } from './MovePolicyInput.js'
import type { PoolMove } from './PoolMove.js'
import type { PoolCapacity } from './PoolCapacity.js'

const WINDOW: Milliseconds = 600_000
const INTERVAL: Milliseconds = 5_000
const MINIMUM_MOVES_PER_HOUR = 60
const MOVES_PER_HOUR_PER_SERVER = 1.2
const MILLISECONDS_PER_HOUR = 3_600_000
/** Part of the tolerated wait that forecasts use up at equal weights. */
const WAIT_FRACTION = 0.7
/** Time for which a pool must have had more than it needs before it gives, at equal weights. */
const SURPLUS_HOLD_TIME: Milliseconds = 60_000
/** Moves that may begin at once after a quiet time, as a part of those of an hour. */
const BURST_FRACTION = 1 / 6
/** History that a forecast of a pool needs before the pool gives. */
const MINIMUM_HISTORY: Milliseconds = 120_000

interface PoolTarget {
	readonly capacity: PoolCapacity
	/** Backend servers that the forecast asks for. */
	readonly target: number
}

/**
 * Sizes each pool for the arrivals of the last minutes and the wait that its queues tolerate, not
 * for its peak rate: a peak of some seconds is partly absorbed by the queue. Pools below their
 * target are filled from spare pools, then from pools that have been above theirs for long, within
 * a budget of moves.
 *
 * @public
 */
export class ForecastMovePolicy extends MovePolicy {
	override readonly name = 'forecast'
	private readonly window: Milliseconds
	private readonly interval: Milliseconds
	private readonly movesPerHour: number | undefined
	private readonly moveFactor: number
	private readonly waitFraction: number
	private readonly surplusHoldTime: Milliseconds
	private readonly histories = new Map<PoolId, ArrivalHistory>()
	private readonly surplusSince = new Map<PoolId, Milliseconds>()
	private evaluatedAt = -Infinity
	private moveTokens = Infinity

	constructor(options: ForecastMovePolicyOptions = {}) {
		super()
		const weights = options.weights ?? { shares: 1, moves: 1, buffer: 1 }
		this.window = options.window ?? WINDOW
		this.interval = options.interval ?? INTERVAL
		this.movesPerHour = options.movesPerHour
		this.moveFactor = weights.shares / weights.moves
		this.surplusHoldTime = (SURPLUS_HOLD_TIME * weights.moves) / weights.buffer
		this.waitFraction = Math.min(0.9, WAIT_FRACTION * Math.sqrt(weights.buffer / weights.shares))
	}

	override plan(view: MovePolicyInput): readonly PoolMove[] {
		for (const { pool, demand } of view.pools) this.getHistory(pool).add(view.now, demand)
		const elapsed = view.now - this.evaluatedAt
		if (elapsed < this.interval) return []
		this.evaluatedAt = view.now
		this.refillTokens(view, elapsed)
		const needs = view.pools.map((supply) => this.computeTarget(supply, view.now))
		return this.planMoves(needs, view.now)
	}

	private refillTokens({ pools }: MovePolicyInput, elapsed: Milliseconds): void {
		const servers = pools.reduce((sum, pool) => sum + pool.available + pool.arriving, 0)
		const scaled = Math.max(MINIMUM_MOVES_PER_HOUR, servers * MOVES_PER_HOUR_PER_SERVER)
		const perHour = (this.movesPerHour ?? scaled) * this.moveFactor
		const earned = (Math.min(elapsed, MILLISECONDS_PER_HOUR) * perHour) / MILLISECONDS_PER_HOUR
		this.moveTokens = Math.min(perHour * BURST_FRACTION, this.moveTokens + earned)
	}

	private getHistory(pool: PoolId): ArrivalHistory {
		const known = this.histories.get(pool)
		if (known) return known
		const history = new ArrivalHistory(this.window)
		this.histories.set(pool, history)
		return history
	}

	private computeTarget(supply: PoolCapacity, now: Milliseconds): PoolTarget {
		const tolerance = supply.demand.toleratedWait * this.waitFraction
		const required = this.getHistory(supply.pool).getRequiredSlots(tolerance, supply.slotsPerServer)
		const need = { capacity: supply, target: Math.ceil(required / supply.slotsPerServer) }
		if (supply.available <= need.target) this.surplusSince.delete(supply.pool)
		else if (!this.surplusSince.has(supply.pool)) this.surplusSince.set(supply.pool, now)
		return need
	}

	private planMoves(needs: readonly PoolTarget[], now: Milliseconds): readonly PoolMove[] {
		const moves: PoolMove[] = []
		const left = new Map(needs.map((need) => [need.capacity.pool, this.countMovable(need, now)]))
		const donors = needs
			.map(({ capacity: supply }) => supply)
			.sort((a, b) => Number(b.spare) - Number(a.spare) || b.available - a.available)
		for (const need of [...needs].sort((a, b) => getShortfall(b) - getShortfall(a))) {
			for (let missing = countMissing(need); missing > 0 && this.moveTokens >= 1; missing -= 1) {
				const donor = donors.find(({ pool }) => (left.get(pool) ?? 0) > 0)
				if (!donor) return moves
				left.set(donor.pool, (left.get(donor.pool) ?? 0) - 1)
				this.moveTokens -= 1
				moves.push({ from: donor.pool, to: need.capacity.pool })
			}
		}
		return moves
	}

	private countMovable({ capacity: supply, target }: PoolTarget, now: Milliseconds): number {
		const surplus = Math.min(supply.movable, supply.available - target)
		if (surplus <= 0) return 0
		if (supply.spare) return surplus
		if (this.getHistory(supply.pool).span < MINIMUM_HISTORY) return 0
		const since = this.surplusSince.get(supply.pool) ?? now
		return now - since >= this.surplusHoldTime ? surplus : 0
	}
}

function countMissing({ capacity: supply, target }: PoolTarget): number {
	return target - supply.available - supply.arriving
}

/** Part of its target that a pool lacks. */
function getShortfall(need: PoolTarget): number {
	return countMissing(need) / Math.max(1, need.target)
}
