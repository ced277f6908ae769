import type { RequestIdClaimResult } from '@mastichead/core'

/**
 * Reads the answer to a claim from the wire. Text that is not understood counts as `expired`, so
 * that nothing runs.
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
