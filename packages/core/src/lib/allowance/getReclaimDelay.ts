import type { Milliseconds } from '../time/Milliseconds.js'
import { allowanceTerms } from './allowanceTerms.js'

/**
 * Returns the time after the end of a lease until no request started within it can still run.
 *
 * @param runBound - longest run of a request, in milliseconds
 *
 * @public
 */
export function getReclaimDelay(runBound: Milliseconds): Milliseconds {
	return runBound * (1 + allowanceTerms.clockRateError) + allowanceTerms.deliveryMargin
}
