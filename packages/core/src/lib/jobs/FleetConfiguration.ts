import type { QueueRules } from './QueueRules.js'
import type { TeamRules } from './TeamRules.js'

/**
 * A version of the fleet's configuration.
 *
 * @public
 */
export interface FleetConfiguration {
	readonly version: number
	readonly queues: ReadonlyMap<string, QueueRules>
	readonly teams: ReadonlyMap<string, TeamRules>
	/** Name of the team that owns each API key, by key. */
	readonly keys: ReadonlyMap<string, string>
	/** Names of the services whose machines are turned off. */
	readonly spareServices: ReadonlySet<string>
	/** Names of all services. */
	readonly services: ReadonlySet<string>
	/** Largest body of a caller's request, in bytes. */
	readonly maximumBodyBytes: number
	/** How long a caller's connection may stay idle, in milliseconds. */
	readonly idleTimeout: number
}
