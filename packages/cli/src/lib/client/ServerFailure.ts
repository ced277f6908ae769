/**
 * A daemon that did not answer, and why.
 *
 * @internal
 */
export interface ServerFailure {
	readonly server: string
	readonly reason: string
}
