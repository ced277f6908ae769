import type { Milliseconds } from '../time/Milliseconds.js'
import type { MoveWeights } from './MoveWeights.js'

/**
 * Options of {@link ForecastMovePolicy}.
 *
 * @public
 */
export interface ForecastMovePolicyOptions {
	/** By default 1 each. */
	readonly weights?: MoveWeights | undefined
	/** Demand of this long ago still counts; by default 10 minutes. */
	readonly window?: Milliseconds | undefined
	/** Time between forecasts; by default 5 seconds. */
	readonly interval?: Milliseconds | undefined
	/** Moves that may begin within an hour at equal weights; by default 1.2 a backend server, at least 60. */
	readonly movesPerHour?: number | undefined
}
