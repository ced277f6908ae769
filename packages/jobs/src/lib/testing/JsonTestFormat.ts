import type { FleetConfiguration } from '@mastichead/core'
import type { BackendRegistration } from '../ports/BackendRegistration.js'
import type { FormatError } from '../ports/FormatError.js'
import type { LogRecord } from '../ports/LogRecord.js'
import { OperatorFormat } from '../ports/OperatorFormat.js'
import type { MaintenanceWave } from '../ports/MaintenanceWave.js'

/**
 * Operator format for tests, which encodes the types of this package as JSON. A configuration
 * record contains only a version, which selects one of the given configurations.
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

	override getEvacuatedZone(key: string): string | undefined {
		return key.startsWith('evacuate/') ? key.slice('evacuate/'.length) : undefined
	}

	override decodeConfiguration(value: string): FleetConfiguration | FormatError {
		const configuration = this.configurations.get(Number(value))
		return (
			configuration ?? { kind: 'format-error', problem: `no configuration with version ${value}` }
		)
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
