import type { Milliseconds } from '../time/Milliseconds.js'
import { allowanceTerms } from './allowanceTerms.js'

/**
 * Time after the end of a lease until nothing that was started within it can still run.
 *
 * @param runBound - longest run, in milliseconds
 *
 * @public
 */
export function getReclaimDelay(runBound: Milliseconds): Milliseconds {
	return runBound * (1 + allowanceTerms.clockRateError) + allowanceTerms.deliveryMargin
}
