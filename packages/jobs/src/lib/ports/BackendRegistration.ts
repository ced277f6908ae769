import type { BackendId, Resources } from '@mastichead/core'

/**
 * What a backend server says of itself in the registry.
 *
 * @public
 */
export interface BackendRegistration {
	readonly id: BackendId
	/** Machine that it runs on; empty if it does not say. */
	readonly machine: string
	readonly service: string
	/** `IP:PORT` */
	readonly address: string
	readonly zone: string
	readonly labels: readonly string[]
	readonly capacity: Resources
	readonly draining: boolean
	/** Start of the server's process, in milliseconds since 1970. */
	readonly incarnation: number
}
