import type { FleetConfiguration } from '@mastichead/core'
import type { BackendRegistration } from '../ports/BackendRegistration.js'
import type { FormatError } from '../ports/FormatError.js'
import type { LogRecord } from '../ports/LogRecord.js'
import { OperatorFormat } from '../ports/OperatorFormat.js'
import type { MaintenanceWave } from '../ports/MaintenanceWave.js'

/**
 * Format of the operator's records in tests: the product's own types as JSON. A configuration is
 * looked up by its version.
 *
 * @internal
 */
export class JsonTestFormat extends OperatorFormat {
	override readonly configurationKey = 'config'

	constructor(private readonly configurations: ReadonlyMap<number, FleetConfiguration>) {
		super()
	}

	override isWaveKey(key: string): boolean {
		return key.startsWith('wave/')
	}

	override decodeConfiguration(value: string): FleetConfiguration | FormatError {
		const configuration = this.configurations.get(Number(value))
		return configuration ?? { kind: 'format-error', problem: `no version ${value}` }
	}

	override decodeWave(value: string): MaintenanceWave | FormatError {
		return JSON.parse(value) as MaintenanceWave
	}

	override encodeWaveReport(key: string, state: 'running' | 'completed'): LogRecord {
		return { key, value: state }
	}

	override decodeRegistration(_id: string, value: string): BackendRegistration | FormatError {
		return JSON.parse(value) as BackendRegistration
	}
}
