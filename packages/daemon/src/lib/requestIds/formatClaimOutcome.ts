import type { RequestIdClaimResult } from '@mastichead/core'

/**
 * Formats the outcome of a claim for the wire. An id that has expired or was never issued is sent as
 * the verdict of its refusal, `may-have-run` or `not-run`.
 *
 * @internal
 */
export function formatClaimOutcome(claim: RequestIdClaimResult): string {
	switch (claim.type) {
		case 'first':
		case 'running':
			return claim.type
		case 'settled':
			return claim.verdict
		case 'expired':
			return 'may-have-run'
		case 'unknown':
			return 'not-run'
	}
}
