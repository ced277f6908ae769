import type { PoolId } from '../ids/PoolId.js'
import type { Milliseconds } from '../time/Milliseconds.js'
import { ArrivalHistory } from './ArrivalHistory.js'
import type { ForecastMovePolicyOptions } from './ForecastMovePolicyOptions.js'
import { MovePolicy } from './MovePolicy.js'
import type { MoveView } from './MoveView.js'
import type { PoolMove } from './PoolMove.js'
import type { PoolSupply } from './PoolSupply.js'

const WINDOW: Milliseconds = 600_000
const INTERVAL: Milliseconds = 5_000
const MINIMUM_MOVES_PER_HOUR = 60
const MOVES_PER_HOUR_AND_SERVER = 1.2
const MILLISECONDS_PER_HOUR = 3_600_000
/** Part of the tolerated wait that forecasts use up at equal weights. */
const TOLERANCE_USE = 0.7
/** Time for which a pool must have had more than it needs before it gives, at equal weights. */
const SURPLUS_HOLD: Milliseconds = 60_000
/** Moves that may begin at once after a quiet time, as a part of those of an hour. */
const BURST_PART = 1 / 6
/** History that a forecast of a pool needs before the pool gives. */
const MINIMUM_SPAN: Milliseconds = 120_000

interface PoolNeed {
	readonly supply: PoolSupply
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
	private readonly toleranceUse: number
	private readonly surplusHold: Milliseconds
	private readonly histories = new Map<PoolId, ArrivalHistory>()
	private readonly surplusSince = new Map<PoolId, Milliseconds>()
	private evaluatedAt = -Infinity
	private tokens = Infinity

	constructor(options: ForecastMovePolicyOptions = {}) {
		super()
		const weights = options.weights ?? { shares: 1, moves: 1, buffer: 1 }
		this.window = options.window ?? WINDOW
		this.interval = options.interval ?? INTERVAL
		this.movesPerHour = options.movesPerHour
		this.moveFactor = weights.shares / weights.moves
		this.surplusHold = (SURPLUS_HOLD * weights.moves) / weights.buffer
		this.toleranceUse = Math.min(0.9, TOLERANCE_USE * Math.sqrt(weights.buffer / weights.shares))
	}

	override plan(view: MoveView): readonly PoolMove[] {
		for (const { pool, demand } of view.pools) this.getHistory(pool).add(view.now, demand)
		const elapsed = view.now - this.evaluatedAt
		if (elapsed < this.interval) return []
		this.evaluatedAt = view.now
		this.earnTokens(view, elapsed)
		const needs = view.pools.map((supply) => this.createNeed(supply, view.now))
		return this.match(needs, view.now)
	}

	private earnTokens({ pools }: MoveView, elapsed: Milliseconds): void {
		const servers = pools.reduce((sum, pool) => sum + pool.available + pool.arriving, 0)
		const scaled = Math.max(MINIMUM_MOVES_PER_HOUR, servers * MOVES_PER_HOUR_AND_SERVER)
		const perHour = (this.movesPerHour ?? scaled) * this.moveFactor
		const earned = (Math.min(elapsed, MILLISECONDS_PER_HOUR) * perHour) / MILLISECONDS_PER_HOUR
		this.tokens = Math.min(perHour * BURST_PART, this.tokens + earned)
	}

	private getHistory(pool: PoolId): ArrivalHistory {
		const known = this.histories.get(pool)
		if (known) return known
		const history = new ArrivalHistory(this.window)
		this.histories.set(pool, history)
		return history
	}

	private createNeed(supply: PoolSupply, now: Milliseconds): PoolNeed {
		const tolerance = supply.demand.tolerance * this.toleranceUse
		const required = this.getHistory(supply.pool).getRequiredSlots(tolerance, supply.slots)
		const need = { supply, target: Math.ceil(required / supply.slots) }
		if (supply.available <= need.target) this.surplusSince.delete(supply.pool)
		else if (!this.surplusSince.has(supply.pool)) this.surplusSince.set(supply.pool, now)
		return need
	}

	private match(needs: readonly PoolNeed[], now: Milliseconds): readonly PoolMove[] {
		const moves: PoolMove[] = []
		const left = new Map(needs.map((need) => [need.supply.pool, this.countGivable(need, now)]))
		const donors = needs
			.map(({ supply }) => supply)
			.sort((a, b) => Number(b.spare) - Number(a.spare) || b.available - a.available)
		for (const need of [...needs].sort((a, b) => getShortfall(b) - getShortfall(a))) {
			for (let missing = countMissing(need); missing > 0 && this.tokens >= 1; missing -= 1) {
				const donor = donors.find(({ pool }) => (left.get(pool) ?? 0) > 0)
				if (!donor) return moves
				left.set(donor.pool, (left.get(donor.pool) ?? 0) - 1)
				this.tokens -= 1
				moves.push({ from: donor.pool, to: need.supply.pool })
			}
		}
		return moves
	}

	private countGivable({ supply, target }: PoolNeed, now: Milliseconds): number {
		const surplus = Math.min(supply.givable, supply.available - target)
		if (surplus <= 0) return 0
		if (supply.spare) return surplus
		if (this.getHistory(supply.pool).span < MINIMUM_SPAN) return 0
		const since = this.surplusSince.get(supply.pool) ?? now
		return now - since >= this.surplusHold ? surplus : 0
	}
}

function countMissing({ supply, target }: PoolNeed): number {
	return target - supply.available - supply.arriving
}

/** Part of its target that a pool lacks. */
function getShortfall(need: PoolNeed): number {
	return countMissing(need) / Math.max(1, need.target)
}
