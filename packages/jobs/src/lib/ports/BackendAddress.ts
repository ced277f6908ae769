import type { BackendId } from '@mastichead/core'

/**
 * Where one registration of a backend server is reached.
 *
 * @public
 */
export interface BackendAddress {
	readonly id: BackendId
	/** `IP:PORT` */
	readonly address: string
}
