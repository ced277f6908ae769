/**
 * A daemon that did not answer, with the reason.
 *
 * @internal
 */
export interface ServerFailure {
	/** Base URL. */
	readonly server: string
	readonly reason: string
}
