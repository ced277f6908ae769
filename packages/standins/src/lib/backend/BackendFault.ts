/**
 * Faults that the backend server stand-in simulates.
 *
 * - `failing`: answers with status 500 at once
 * - `frozen`: accepts requests and never answers
 * - `reset`: resets the connection after half of the response
 * - `truncated`: closes the connection before the announced content length is sent
 * - `malformed`: answers with bytes that are not valid HTTP
 * - `leaving`: refuses new requests as `not-run` and finishes the running ones
 *
 * @public
 */
export type BackendFault =
	'none' | 'failing' | 'frozen' | 'reset' | 'truncated' | 'malformed' | 'leaving'
