import type { Refusal } from './Refusal.js'

/**
 * Refusal of a request whose body exceeds the size limit.
 *
 * @internal
 */
export const bodyTooLarge: Refusal = {
	status: 413,
	error: 'body-too-large',
	message: 'the body exceeds the size limit',
	verdict: 'not-run',
}
