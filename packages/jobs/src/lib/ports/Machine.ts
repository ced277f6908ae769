import type { BackendId, Resources } from '@mastichead/core'

/**
 * A machine that backend servers run on.
 *
 * @public
 */
export interface Machine {
	readonly id: string
	/** Service whose pool it is in. */
	readonly service: string
	readonly state: 'up' | 'moving' | 'maintenance' | 'down'
	readonly zone: string
	readonly labels: readonly string[]
	readonly capacity: Resources
	/** Its backend server; empty while there is none. */
	readonly backend: BackendId
}
