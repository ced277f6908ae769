import type { Milliseconds } from '../time/Milliseconds.js'
import type { MoveWeights } from './MoveWeights.js'

/**
 * Options of {@link ForecastMovePolicy}.
 *
 * @public
 */
export interface ForecastMovePolicyOptions {
	/** Costs to balance (default 1 each). */
	readonly weights?: MoveWeights | undefined
	/** Time span of past arrivals that the forecast uses (default 10 minutes). */
	readonly window?: Milliseconds | undefined
	/** Time between forecasts (default 5 seconds). */
	readonly interval?: Milliseconds | undefined
	/** Moves that may start per hour at equal weights (default 1.2 per backend server, at least 60). */
	readonly movesPerHour?: number | undefined
}
