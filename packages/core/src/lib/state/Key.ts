import type { KeyId } from '../ids/KeyId.js'
import type { TeamId } from '../ids/TeamId.js'

/**
 * A caller key. A withdrawn key never becomes active again.
 *
 * @public
 */
export interface Key {
	readonly id: KeyId
	readonly team: TeamId
	/** SHA-256 of the secret, in hex. */
	readonly hash: string
	readonly state: 'active' | 'withdrawn'
}
