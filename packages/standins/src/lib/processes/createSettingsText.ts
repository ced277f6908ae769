import { createHash } from 'node:crypto'
import { stringify } from 'yaml'
import type { EntryInstance } from './EntryInstance.js'

interface Options {
	readonly instance: EntryInstance
	readonly peers: readonly EntryInstance[]
	readonly platformPort: number
	/** Operator token in plain text. */
	readonly token: string
}

/**
 * Creates the YAML text of the settings of an entry instance on loopback.
 *
 * @public
 */
export function createSettingsText({ instance, peers, platformPort, token }: Options): string {
	return stringify({
		instance: instance.name,
		availabilityZone: instance.availabilityZone,
		listeners: {
			callers: { port: instance.callerPort },
			operators: { port: instance.operatorPort },
			peers: { port: instance.peerPort },
		},
		platform: { urls: [`http://127.0.0.1:${platformPort}`] },
		seeds: peers
			.filter((peer) => peer.name !== instance.name)
			.map((peer) => `127.0.0.1:${peer.peerPort}`),
		operators: [{ name: 'demo', tokenHash: createHash('sha256').update(token).digest('hex') }],
	})
}
