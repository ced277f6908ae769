import type { BackendId, Resources } from '@mastichead/core'

/**
 * Registration of a backend server in the registry, written by the server.
 *
 * @public
 */
export interface BackendRegistration {
	readonly id: BackendId
	/** Machine that it runs on; empty if unknown. */
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
	/** How much longer it runs tasks slowly, in milliseconds; absent once it runs at full speed. */
	readonly warmupLeft?: number
	/**
	 * Milliseconds for which the log answered without the registration, after an outage in which it may
	 * have expired; only in an owner's copy.
	 */
	readonly absentTime?: number
	/**
	 * Whether the registry does not contain it any more, while tasks were still placed on the server; only in
	 * an owner's copy.
	 */
	readonly departed?: boolean
	/**
	 * Start of the process before, in milliseconds since 1970, while tasks that were placed on it have not been
	 * compared with a listing of the present one; only in an owner's copy.
	 */
	readonly earlierIncarnation?: number
}
