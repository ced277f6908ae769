import type { BackendId, Resources } from '@mastichead/core'

/**
 * A machine that backend servers run on.
 *
 * @public
 */
export interface Machine {
	readonly id: string
	/** Service to whose pool the machine belongs. */
	readonly service: string
	readonly state: 'up' | 'moving' | 'maintenance' | 'down'
	readonly zone: string
	readonly labels: readonly string[]
	readonly capacity: Resources
	/** Backend server on the machine; empty if there is none. */
	readonly backend: BackendId
}
