import type { ServerLoad, TeamLoad } from '@mastichead/protocol'

/**
 * One row of a digest, encoded once for all peers.
 *
 * @internal
 */
export interface DigestRow {
	readonly key: string
	/** Encoded message, as Latin-1 text so that rows compare cheaply. */
	readonly encoded: string
	/** Bytes that the row takes in a digest. */
	readonly bytes: number
	readonly team?: TeamLoad
	readonly server?: ServerLoad
}
