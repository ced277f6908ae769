import type { BackendServer } from '@mastichead/core'

/**
 * Checks the health of backend servers.
 *
 * @public
 */
export abstract class HealthChecker {
	/** Resolves to whether the backend server reported itself healthy in time. Never rejects. */
	abstract check(server: BackendServer): Promise<boolean>

	/** Closes the connections kept between checks. */
	abstract close(): void
}
