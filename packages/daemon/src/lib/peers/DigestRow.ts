import type { ServerLoad, TeamLoad } from '@mastichead/protocol'

/**
 * One row of a digest, encoded once for all peers.
 *
 * @internal
 */
export interface DigestRow {
	/** `team <name>` or `server <name>`. */
	readonly key: string
	/** Encoded message as Latin-1 text, which compares cheaply. */
	readonly encoded: string
	/** Maximum size of the row in a digest, including its tag and length. */
	readonly bytes: number
	readonly team?: TeamLoad
	readonly server?: ServerLoad
}
