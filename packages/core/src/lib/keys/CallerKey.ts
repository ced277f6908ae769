import type { KeyId } from '../ids/KeyId.js'

/**
 * A caller key with its secret. The system stores only the hash of the secret.
 *
 * @public
 */
export interface CallerKey {
	readonly id: KeyId
	readonly secret: string
	/** The key as callers send it: `mh_<id>_<secret>`. */
	readonly text: string
}
