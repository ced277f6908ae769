import { stringify } from 'yaml'

/**
 * Creates the YAML text of a fleet with one pool and one queue, both named `quotes`, and the teams
 * `desk` and `other`.
 *
 * @param options - `firstPort`: port of the first backend server; `servers`: number of backend
 * servers, spread evenly over two zones; `limit`: limit of the team `desk` (default 400)
 * @public
 */
export function createFleetText(options: {
	readonly firstPort: number
	readonly servers: number
	readonly limit?: number
}): string {
	const zones = ['zone-1', 'zone-2']
	return stringify({
		name: 'failures',
		availabilityZones: zones,
		pools: [{ name: 'quotes', spare: false, minimumAvailable: 1, maximumUnavailable: 3 }],
		queues: [
			{
				name: 'quotes',
				pool: 'quotes',
				teams: ['desk'],
				urgency: 'ordinary',
				timeoutMilliseconds: 5000,
				runMilliseconds: 1500,
				maximumQueued: 1000,
			},
		],
		teams: [
			{ name: 'desk', share: 1, limit: options.limit ?? 400 },
			{ name: 'other', share: 1, limit: 8 },
		],
		backendServers: Array.from({ length: options.servers }, (_, index) => ({
			name: `server-${index}`,
			availabilityZone: zones[index % zones.length],
			rack: `rack-${index}`,
			address: `127.0.0.1:${options.firstPort + index}`,
			pool: 'quotes',
			slots: 8,
			connections: 64,
		})),
	})
}
