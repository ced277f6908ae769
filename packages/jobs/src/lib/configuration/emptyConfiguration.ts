import type { FleetConfiguration } from '@mastichead/core'

/**
 * Stands for the configuration before its first version was read: nothing is allowed.
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
