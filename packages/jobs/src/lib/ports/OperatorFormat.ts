import type { FleetConfiguration } from '@mastichead/core'
import type { BackendRegistration } from './BackendRegistration.js'
import type { LogRecord } from './LogRecord.js'
import type { FormatError } from './FormatError.js'
import type { MaintenanceWave } from './MaintenanceWave.js'

/**
 * Encodes and decodes the records that are exchanged with the operator and the backend servers
 * through the log.
 *
 * @public
 */
export abstract class OperatorFormat {
	/** Key of the record that holds the configuration. */
	abstract readonly configurationKey: string
	/** Whether a key belongs to a maintenance wave. */
	abstract isWaveKey(key: string): boolean
	/** Returns the availability zone whose evacuation a record requests while it exists; undefined if none. */
	abstract getEvacuatedZone(key: string): string | undefined
	abstract decodeConfiguration(value: string): FleetConfiguration | FormatError
	abstract decodeWave(value: string): MaintenanceWave | FormatError
	/** Creates the record that reports the state of a wave to the operator. */
	abstract encodeWaveReport(key: string, state: 'running' | 'completed'): LogRecord
	abstract decodeRegistration(id: string, value: string): BackendRegistration | FormatError
}
