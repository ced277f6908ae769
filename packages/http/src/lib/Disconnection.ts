/**
 * Why and in what state a connection of a client was closed.
 *
 * @public
 */
export interface Disconnection {
	readonly reason:
		| 'too many connections'
		| 'too many calls ahead'
		| 'too many calls'
		| 'too much unparsed data'
		| 'unread answers'
	/** Address of the client; undefined if it has gone already. */
	readonly client: string | undefined
	/** Requests on it whose answers had not been sent whole. */
	readonly calls: number
	/** Those of them that had been read whole and were not answered. */
	readonly served: number
	/** Open connections of all clients, with this one. */
	readonly connections: number
}
