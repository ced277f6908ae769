/**
 * A record of a stream. The newest record of a key is kept for good.
 *
 * @public
 */
export interface LogRecord {
	readonly key: string
	/** Undefined drops the key. */
	readonly value: string | undefined
}
