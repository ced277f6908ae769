import type { KeyId } from '../ids/KeyId.js'
import type { TeamId } from '../ids/TeamId.js'
import type { Milliseconds } from '../time/Milliseconds.js'

/**
 * A caller key. A withdrawn key never becomes active again.
 *
 * @public
 */
export interface Key {
	readonly id: KeyId
	readonly team: TeamId
	/** SHA-256 of the secret, in hex; empty once withdrawn. */
	readonly hash: string
	readonly state: 'active' | 'withdrawn'
	/** Platform clock of the last withdrawal; absent while active. */
	readonly withdrawnAt?: Milliseconds | undefined
}
