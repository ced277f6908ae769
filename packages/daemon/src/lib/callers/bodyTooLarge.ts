import type { Refusal } from './Refusal.js'

/**
 * Answer to a request whose body is over the limit.
 *
 * @internal
 */
export const bodyTooLarge: Refusal = {
	status: 413,
	error: 'body-too-large',
	message: 'the body is over the limit',
	verdict: 'not-run',
}
