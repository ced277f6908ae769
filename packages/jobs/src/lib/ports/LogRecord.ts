/**
 * A record of a compacted stream: the newest record of each key is kept.
 *
 * @public
 */
export interface LogRecord {
	readonly key: string
	/** Undefined for a tombstone, which deletes the key. */
	readonly value: string | undefined
}
