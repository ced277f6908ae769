/**
 * An encoded state, split into parts that fit into log records.
 *
 * @public
 */
export interface Snapshot {
	/** Last offset that the state includes. */
	readonly through: number
	/** SHA-256 of the encoded state before compression, in hex. */
	readonly hash: string
	/** Slices of the base64 text of the compressed state, in order. */
	readonly parts: readonly string[]
}
