import type { KeyId } from '../ids/KeyId.js'

/**
 * A caller key with its secret, as its holder shows it. Never kept by the system.
 *
 * @public
 */
export interface CallerKey {
	readonly id: KeyId
	readonly secret: string
	/** `mh_<id>_<secret>`, what callers send. */
	readonly text: string
}
