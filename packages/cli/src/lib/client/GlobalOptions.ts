/**
 * Options that every command takes.
 *
 * @internal
 */
export interface GlobalOptions {
	readonly server?: readonly string[]
	readonly token?: string
	readonly certificateAuthority?: string
	readonly timeout: number
	readonly output: 'text' | 'json'
}
