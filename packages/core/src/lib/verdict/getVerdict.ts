import type { AttemptOutcome } from './AttemptOutcome.js'
import type { Verdict } from './Verdict.js'

/**
 * Returns the verdict of an attempt that ended with `outcome`.
 *
 * @public
 */
export function getVerdict(outcome: AttemptOutcome): Verdict {
	switch (outcome.type) {
		case 'connection-unavailable':
		case 'connection-refused':
		case 'connection-timeout':
		case 'refused':
		case 'reset-before-write':
		case 'cancelled-before-write':
			return 'not-run'
		case 'reset-after-write':
		case 'head-timeout':
		case 'malformed-response':
		case 'truncated-response':
		case 'body-timeout':
		case 'cancelled-after-write':
			return 'may-have-run'
		case 'answered':
			return 'ran'
	}
}
