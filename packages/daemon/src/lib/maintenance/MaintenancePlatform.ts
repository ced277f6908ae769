import type { BackendServerId, MaintenanceProgress, WaveId } from '@mastichead/core'

/**
 * Controls maintenance at the platform, which drains an instance, performs the maintenance and
 * brings the instance back.
 *
 * @public
 */
export abstract class MaintenancePlatform {
	/** Requests maintenance of an instance. Idempotent per wave. Never rejects. */
	abstract start(wave: WaveId, server: BackendServerId): Promise<void>

	/** Returns the progress of the maintenance, `unknown` without a response. Never rejects. */
	abstract getProgress(wave: WaveId, server: BackendServerId): Promise<MaintenanceProgress>
}
