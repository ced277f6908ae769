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
 * Follows the operator's stream: the configuration, of which the highest version is in force, the
 * maintenance waves, and the availability zones to evacuate.
 *
 * @public
 */
export class ConfigurationManager {
	readonly follower: StreamFollower
	/** Version in force; undefined until the first one was read. */
	current: FleetConfiguration | undefined
	/** Maintenance waves by the key of their record. */
	readonly waves = new Map<string, MaintenanceWave>()
	/** Availability zones that are being evacuated. */
	readonly evacuatedZones = new Set<string>()
	/** Whether every record of the stream has been read at least once since the start. */
	isComplete = false
	private readonly listeners = new Set<(configuration: FleetConfiguration) => void>()
	private readonly evacuationListeners = new Set<() => void>()

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
			{
				maximumWait: MAXIMUM_READ_WAIT,
				getPollDelay: () => POLL_DELAY,
				onLoaded: () => {
					this.isComplete = true
				},
			}
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

	/** Calls `listener` whenever the evacuation of an availability zone begins or ends, until cancelled. */
	subscribeEvacuations(listener: () => void): { cancel(): void } {
		this.evacuationListeners.add(listener)
		return { cancel: () => this.evacuationListeners.delete(listener) }
	}

	private apply(entry: LogEntry): void {
		const { format } = this.options
		if (entry.key === format.configurationKey) this.applyConfiguration(entry)
		else if (format.isWaveKey(entry.key)) this.applyWave(entry)
		else {
			const zone = format.getEvacuatedZone(entry.key)
			if (zone !== undefined) this.applyEvacuation(zone, entry)
		}
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

	private applyEvacuation(zone: string, { value, offset }: LogEntry): void {
		if (value === undefined) this.evacuatedZones.delete(zone)
		else this.evacuatedZones.add(zone)
		const change = value === undefined ? 'ended' : 'begun'
		this.options.events.info('evacuation-changed', { zone, change, offset })
		for (const listener of this.evacuationListeners) listener()
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
