import type { Refusal } from '../callers/Refusal.js'

type KeyError = 'key-missing' | 'key-malformed' | 'key-refused' | 'team-refused' | 'keys-isolated'

const STATUS_UNAUTHORIZED = 401
const STATUS_FORBIDDEN = 403
const STATUS_UNAVAILABLE = 503
const ISOLATED_RETRY_AFTER_MILLISECONDS = 5000

const MESSAGES: Readonly<Record<KeyError, string>> = {
	'key-missing': 'the queue wants a key: Authorization: Bearer <key>',
	'key-malformed': 'the Authorization header does not hold a key',
	'key-refused': 'the key is unknown or withdrawn',
	'team-refused': 'the queue is not open to the team of the key',
	'keys-isolated': 'this instance cannot tell for now whether the key was withdrawn',
}

function getStatus(error: KeyError): number {
	if (error === 'keys-isolated') return STATUS_UNAVAILABLE
	return error === 'team-refused' ? STATUS_FORBIDDEN : STATUS_UNAUTHORIZED
}

/**
 * Creates the refusal of a caller whose key is missing or not accepted; the request did not run.
 *
 * @internal
 */
export function createKeyRefusal(error: KeyError): Refusal {
	return {
		status: getStatus(error),
		error,
		message: MESSAGES[error],
		verdict: 'not-run',
		retryAfter: error === 'keys-isolated' ? ISOLATED_RETRY_AFTER_MILLISECONDS : undefined,
	}
}
