import { createHash } from 'node:crypto'
import { stringify } from 'yaml'
import type { EntryInstance } from './EntryInstance.js'
import type { InstanceConstraints } from './InstanceConstraints.js'

interface Options {
	readonly instance: EntryInstance
	readonly peers: readonly EntryInstance[]
	readonly platformPort: number
	/** Operator token in plain text. */
	readonly token: string
	/** TLS files of the ports for callers and operators; plain by default. */
	readonly tls?: InstanceConstraints['tls']
	/** Limits that differ from their defaults, by name. */
	readonly limits?: InstanceConstraints['limits']
}

/**
 * Creates the YAML text of the settings of an entry instance on loopback.
 *
 * @public
 */
export function createSettingsText(options: Options): string {
	const { instance, peers, platformPort, token, tls, limits } = options
	return stringify({
		instance: instance.name,
		availabilityZone: instance.availabilityZone,
		listeners: {
			callers: { port: instance.callerPort, ...(tls && { tls }) },
			operators: { port: instance.operatorPort, ...(tls && { tls }) },
			peers: { port: instance.peerPort },
		},
		platform: { urls: [`http://127.0.0.1:${platformPort}`] },
		seeds: peers
			.filter((peer) => peer.name !== instance.name)
			.map((peer) => `127.0.0.1:${peer.peerPort}`),
		operators: [{ name: 'demo', tokenHash: createHash('sha256').update(token).digest('hex') }],
		...(limits && { limits }),
	})
}
