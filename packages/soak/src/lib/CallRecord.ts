/**
 * One call of a caller. Instants are in milliseconds since 1970.
 *
 * @public
 */
export interface CallRecord {
	readonly method: string
	/** Number of the instance that was called. */
	readonly instance: number
	readonly key: string
	readonly sentAt: number
	readonly endedAt: number
	/** Status of the answer; 0 if there was none. */
	readonly status: number
}
