import { type AttemptOutcome, getVerdict, type SlotEnd } from '@mastichead/core'

const SERVER_ERROR_STATUS = 500

/**
 * Returns what the outcome of an attempt says about the backend server.
 *
 * @internal
 */
export function getSlotResult(outcome: AttemptOutcome): SlotEnd['result'] {
	switch (outcome.type) {
		case 'answered':
			return outcome.status >= SERVER_ERROR_STATUS ? 'failure' : 'success'
		case 'refused':
			return 'full'
		case 'connection-unavailable':
			return 'unused'
		case 'cancelled-before-write':
		case 'cancelled-after-write':
			return 'neutral'
		case 'body-timeout':
		case 'connection-refused':
		case 'connection-timeout':
		case 'head-timeout':
		case 'malformed-response':
		case 'reset-after-write':
		case 'reset-before-write':
		case 'truncated-response':
			return getVerdict(outcome) === 'ran' ? 'neutral' : 'failure'
	}
}
