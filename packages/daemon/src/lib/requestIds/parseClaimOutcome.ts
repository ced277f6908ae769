import type { RequestIdClaimResult } from '@mastichead/core'

/**
 * Parses the outcome of a claim from the wire. Unknown text counts as `expired`, so that the
 * request does not run.
 *
 * @internal
 */
export function parseClaimOutcome(outcome: string): RequestIdClaimResult {
	switch (outcome) {
		case 'first':
		case 'running':
			return { type: outcome }
		case 'ran':
			return { type: 'settled', verdict: 'ran' }
		case 'not-run':
			return { type: 'unknown' }
		default:
			return { type: 'expired' }
	}
}
