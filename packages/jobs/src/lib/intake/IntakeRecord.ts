import type { JobId } from '@mastichead/core'

/**
 * A record about an id that a caller asked for, before it is appended. Each copy that is appended gets a key
 * of its own, so that none replaces another one and their order stays known for as long as they are kept.
 *
 * @public
 */
export interface IntakeRecord {
	readonly id: JobId
	/** What the keys of all copies begin with. */
	readonly keyPrefix: string
	readonly value: string
	/** Equal for records of which one may stand for the other. */
	readonly identity: string
}
