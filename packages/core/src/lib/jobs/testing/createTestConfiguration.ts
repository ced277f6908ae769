import type { FleetConfiguration } from '../FleetConfiguration.js'
import type { Resources } from '../Resources.js'

/**
 * Creates a configuration with the queue `quotes` on the pool `desk`, and the team `installers`.
 *
 * @param limit - resource limit of the team; none by default
 * @public
 */
export function createTestConfiguration(
	limit: Resources = { cpu: 0, memory: 0, gpu: 0 }
): FleetConfiguration {
	const queue = {
		name: 'quotes',
		service: 'desk',
		priority: 0,
		maximumAttempts: 2,
		stretch: 1.6,
		latencyAllowance: 600,
		public: false,
		host: 'example',
		pathPrefix: '/quotes/',
	}
	return {
		version: 1,
		queues: new Map([['quotes', queue]]),
		teams: new Map([['installers', { name: 'installers', keys: ['k'], weight: 1, limit }]]),
		keys: new Map([['k', 'installers']]),
		services: new Set(['desk']),
		spareServices: new Set(),
		maximumBodyBytes: 10_000,
		idleTimeout: 15_000,
	}
}
