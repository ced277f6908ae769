import type { BackendId } from '@mastichead/core'

/**
 * Address of one registration of a backend server.
 *
 * @public
 */
export interface BackendAddress {
	readonly id: BackendId
	/** `IP:PORT` */
	readonly address: string
}
