/**
 * Faults that the backend server stand-in plays.
 *
 * - `failing`: answers 500 at once
 * - `frozen`: takes requests and never answers
 * - `reset`: resets the connection when half of the answer is sent
 * - `truncated`: ends the connection before the announced length is sent
 * - `malformed`: answers with bytes that are not HTTP
 * - `leaving`: refuses new requests as not run and ends the running ones
 *
 * @public
 */
export type BackendFault =
	'none' | 'failing' | 'frozen' | 'reset' | 'truncated' | 'malformed' | 'leaving'
