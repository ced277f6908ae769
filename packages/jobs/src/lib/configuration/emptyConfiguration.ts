import type { FleetConfiguration } from '@mastichead/core'

/**
 * Configuration used until the first version was read. It allows nothing.
 *
 * @public
 */
export const emptyConfiguration: FleetConfiguration = {
	version: 0,
	queues: new Map(),
	teams: new Map(),
	keys: new Map(),
	spareServices: new Set(),
	services: new Set(),
	maximumBodyBytes: 0,
	idleTimeout: 0,
}
