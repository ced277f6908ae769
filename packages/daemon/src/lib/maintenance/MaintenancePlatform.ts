import type { BackendServerId, MaintenanceProgress, WaveId } from '@mastichead/core'

/**
 * The platform's side of maintenance. It drains an instance, carries the maintenance out, and
 * brings the instance back.
 *
 * @public
 */
export abstract class MaintenancePlatform {
	/** Asks for the maintenance of an instance. Idempotent by wave. Never rejects. */
	abstract start(wave: WaveId, server: BackendServerId): Promise<void>

	/** How far the maintenance of an instance is; `unknown` when no answer came. Never rejects. */
	abstract getProgress(wave: WaveId, server: BackendServerId): Promise<MaintenanceProgress>
}
