/**
 * An encoded state, cut into parts that fit into records.
 *
 * @public
 */
export interface Snapshot {
	/** Last offset folded into it. */
	readonly through: number
	/** SHA-256 of the encoded state before compression, in hex. */
	readonly hash: string
	/** Slices of the compressed state in base64. */
	readonly parts: readonly string[]
}
