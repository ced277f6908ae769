import type { FleetConfiguration, TimerService } from '@mastichead/core'
import { emptyConfiguration } from './emptyConfiguration.js'
import { StreamFollower } from '../log/StreamFollower.js'
import type { EventLog } from '../logs/EventLog.js'
import type { LogEntry } from '../ports/LogEntry.js'
import type { MetadataLog } from '../ports/MetadataLog.js'
import type { OperatorFormat } from '../ports/OperatorFormat.js'
import type { MaintenanceWave } from '../ports/MaintenanceWave.js'

/** How long a read waits for a change, in milliseconds. */
const MAXIMUM_READ_WAIT = 800
/** Delay between two reads, in milliseconds. */
const POLL_DELAY = 5

/**
 * Follows the operator's stream: the configuration, of which the highest version is in force, and
 * the maintenance waves.
 *
 * @public
 */
export class ConfigurationManager {
	readonly follower: StreamFollower
	/** Version in force; undefined until the first one was read. */
	current: FleetConfiguration | undefined
	/** Maintenance waves by the key of their record. */
	readonly waves = new Map<string, MaintenanceWave>()
	private readonly listeners = new Set<(configuration: FleetConfiguration) => void>()

	constructor(
		private readonly options: {
			readonly log: MetadataLog
			readonly timers: TimerService
			readonly events: EventLog
			readonly format: OperatorFormat
		}
	) {
		const { log, timers, events } = options
		this.follower = new StreamFollower(
			'operator',
			log,
			timers,
			events,
			(entry) => {
				this.apply(entry)
			},
			{ maximumWait: MAXIMUM_READ_WAIT, getPollDelay: () => POLL_DELAY }
		)
	}

	/** Returns the version in force, or an empty configuration before the first one was read. */
	getCurrentOrEmpty(): FleetConfiguration {
		return this.current ?? emptyConfiguration
	}

	/** Calls `listener` whenever a new version comes into force. */
	subscribe(listener: (configuration: FleetConfiguration) => void): void {
		this.listeners.add(listener)
	}

	private apply(entry: LogEntry): void {
		const { format } = this.options
		if (entry.key === format.configurationKey) this.applyConfiguration(entry)
		else if (format.isWaveKey(entry.key)) this.applyWave(entry)
	}

	private applyConfiguration(entry: LogEntry): void {
		if (entry.value === undefined) return
		const { format, events } = this.options
		const decoded = format.decodeConfiguration(entry.value)
		if ('kind' in decoded) {
			events.error('configuration-unreadable', { offset: entry.offset, problem: decoded.problem })
			return
		}
		const before = this.current?.version
		if (before !== undefined && decoded.version <= before) return
		this.current = decoded
		const { version, queues, teams } = decoded
		events.info('configuration-applied', {
			version,
			before,
			queues: queues.size,
			teams: teams.size,
		})
		for (const listener of this.listeners) listener(decoded)
	}

	private applyWave(entry: LogEntry): void {
		if (entry.value === undefined) {
			this.waves.delete(entry.key)
			return
		}
		const { format, events } = this.options
		const decoded = format.decodeWave(entry.value)
		if ('kind' in decoded) {
			events.error('wave-unreadable', { offset: entry.offset, problem: decoded.problem })
			return
		}
		this.waves.set(entry.key, decoded)
		const { number, machines, deadlineSeconds, parallelism } = decoded
		events.info('wave-received', {
			wave: number,
			machines: machines.length,
			deadline: deadlineSeconds,
			atOnce: parallelism,
		})
	}
}
