/**
 * Bounds on what clients may hold of a process, over all connections unless stated otherwise.
 *
 * @public
 */
export interface ClientLimits {
	/** Open connections. */
	readonly connections: number
	/** Requests whose answers have not been sent whole. */
	readonly calls: number
	/** The same on one connection. */
	readonly callsPerConnection: number
	/** Memory of the bodies of those requests, in bytes; a body alone may take more. */
	readonly bodyBytes: number
	/** Memory of what has been received and waits to be parsed, in bytes. */
	readonly unparsedBytes: number
}
