import type { Refusal } from './Refusal.js'

/**
 * Refusal of a request whose body exceeds the size limit.
 *
 * @internal
 */
export const bodyTooLarge: Refusal = {
	status: 413,
	error: 'body-too-large',
	message: 'the body is over the limit',
	verdict: 'not-run',
}
