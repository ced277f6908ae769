import type { QueueRules } from './QueueRules.js'
import type { TeamRules } from './TeamRules.js'

/**
 * A version of the configuration in the product's terms.
 *
 * @public
 */
export interface FleetConfiguration {
	readonly version: number
	readonly queues: ReadonlyMap<string, QueueRules>
	readonly teams: ReadonlyMap<string, TeamRules>
	/** Team of each key. */
	readonly keys: ReadonlyMap<string, string>
	/** Names of the services whose machines are off. */
	readonly spareServices: ReadonlySet<string>
	/** Names of all services. */
	readonly services: ReadonlySet<string>
	/** Largest body of a call, in bytes. */
	readonly maximumBodyBytes: number
	/** How long a connection may stay idle, in milliseconds. */
	readonly idleTimeout: number
}
