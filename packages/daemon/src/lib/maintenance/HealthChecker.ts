import type { BackendServer } from '@mastichead/core'

/**
 * Asks backend servers whether they are well.
 *
 * @public
 */
export abstract class HealthChecker {
	/** Resolves to whether the backend server answered in time that it is well. Never rejects. */
	abstract check(server: BackendServer): Promise<boolean>

	/** Closes what is kept between checks. */
	abstract close(): void
}
