import type { FleetConfiguration } from '@mastichead/core'
import type { BackendRegistration } from './BackendRegistration.js'
import type { LogRecord } from './LogRecord.js'
import type { FormatError } from './FormatError.js'
import type { MaintenanceWave } from './MaintenanceWave.js'

/**
 * Decodes what the operator and the backend servers write into the log.
 *
 * @public
 */
export abstract class OperatorFormat {
	/** Key of the record that holds the configuration. */
	abstract readonly configurationKey: string
	/** Whether a record's key names a wave. */
	abstract isWaveKey(key: string): boolean
	abstract decodeConfiguration(value: string): FleetConfiguration | FormatError
	abstract decodeWave(value: string): MaintenanceWave | FormatError
	/** Record by which the operator learns how far a wave is. */
	abstract encodeWaveReport(key: string, state: 'running' | 'completed'): LogRecord
	abstract decodeRegistration(id: string, value: string): BackendRegistration | FormatError
}
