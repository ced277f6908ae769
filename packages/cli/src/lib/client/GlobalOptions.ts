/**
 * Options of every command, as given on the command line.
 *
 * @internal
 */
export interface GlobalOptions {
	/** Base URLs of daemons. */
	readonly server?: readonly string[]
	readonly token?: string
	/** Path of a PEM file. */
	readonly certificateAuthority?: string
	/** Seconds. */
	readonly timeout: number
	readonly output: 'text' | 'json'
}
