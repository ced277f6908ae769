/**
 * What a link does to connections.
 *
 * - `none`: passes all bytes on
 * - `silent`: swallows the bytes of both directions; a connection that lost bytes stays silent for good
 * - `requests-lost`, `answers-lost`: the same in one direction
 * - `delayed`: passes each byte on later
 * - `reset`: resets open connections, and new ones at once
 * - `refused`: answers requests with status 503 in place of the server
 *
 * @public
 */
export type LinkFault =
	'none' | 'silent' | 'requests-lost' | 'answers-lost' | 'delayed' | 'reset' | 'refused'
