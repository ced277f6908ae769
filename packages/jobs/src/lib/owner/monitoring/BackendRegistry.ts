import type { BackendId, BackendRow, Resources } from '@mastichead/core'
import { StreamFollower } from '../../log/StreamFollower.js'
import type { LogEntry } from '../../ports/LogEntry.js'
import type { MetadataLog } from '../../ports/MetadataLog.js'
import type { BackendRegistration } from '../../ports/BackendRegistration.js'
import type { OperatorFormat } from '../../ports/OperatorFormat.js'
import type { OwnerContext } from '../terms/OwnerContext.js'

/** How long a read waits for a changed registration, and the pause after it, in milliseconds. */
const READ_WAIT = 500
const READ_PAUSE = 250
/** The pause while servers are expected, in milliseconds, so that they get work as soon as they are there. */
const EXPECTANT_READ_PAUSE = 50
/**
 * Time in which the answer to a load must begin, in milliseconds. Only the owner loads the registry, and
 * a request that the log has lost must not keep it from asking again.
 */
const LOAD_TIMEOUT = 900
/** Maximum time since the log's latest answer for the registry to count as fresh, in milliseconds. */
const MAXIMUM_FRESH_AGE = 1_100
/**
 * How long the log must answer, after it has become reachable again, until a registration that is missing
 * counts as gone, in milliseconds, because it may only have expired during the outage.
 */
const DEREGISTRATION_GRACE = 2_500
/** Interval at which the time in which the log answered is counted, in milliseconds. */
const GRACE_INTERVAL = 250

/**
 * Follows the registrations of backend servers in the log and updates their rows.
 *
 * @public
 */
export class BackendRegistry {
	readonly follower: StreamFollower
	private readonly registrations = new Map<BackendId, BackendRegistration>()
	/** Problems of the entries that name no server. */
	private readonly unreadable = new Map<BackendId, string>()

	constructor(
		private readonly context: OwnerContext,
		private readonly options: {
			readonly log: MetadataLog
			readonly format: OperatorFormat
			readonly onChange: (row: BackendRow) => void
			/** Whether servers are expected to register. */
			readonly isAwaitingBackends: () => boolean
		}
	) {
		const { timers, events } = context
		this.follower = new StreamFollower(
			'backends',
			options.log,
			timers,
			events,
			(entry) => {
				this.apply(entry)
			},
			{
				maximumWait: READ_WAIT,
				getPollDelay: () => (options.isAwaitingBackends() ? EXPECTANT_READ_PAUSE : READ_PAUSE),
				loadTimeout: LOAD_TIMEOUT,
				onLoaded: () => {
					this.deregisterUnlisted()
				},
			}
		)
	}

	/** Applies the registrations that the earlier owner knew, until the registry has been read. */
	preload(registrations: Iterable<BackendRegistration>): void {
		for (const registration of registrations) {
			if (registration.departed) this.describe(registration)
			else this.applyRegistration(registration)
		}
	}

	/** Marks the servers in the availability zones that are being evacuated, and no others. */
	updateEvacuations(): void {
		const { backends, evacuatedZones } = this.context
		for (const row of backends.all) row.evacuated = evacuatedZones.has(row.zone)
	}

	/** Whether the log has answered recently. */
	isFresh(): boolean {
		const { lastContactAt } = this.follower
		return (
			lastContactAt !== undefined && this.context.timers.now() - lastContactAt < MAXIMUM_FRESH_AGE
		)
	}

	/** Returns the latest known registration of a backend server. */
	get(id: BackendId): BackendRegistration | undefined {
		return this.registrations.get(id)
	}

	private apply(entry: LogEntry): void {
		if (entry.value === undefined) {
			this.unreadable.delete(entry.key)
			this.deregister(entry.key)
			return
		}
		const registration = this.options.format.decodeRegistration(entry.key, entry.value)
		if ('kind' in registration) this.reportUnreadable(entry.key, registration.problem)
		else {
			this.unreadable.delete(entry.key)
			this.applyRegistration(registration)
		}
	}

	/** Reports an entry that names no server; the same one is not reported again if it is only rewritten. */
	private reportUnreadable(id: BackendId, problem: string): void {
		if (this.unreadable.get(id) === problem) return
		this.unreadable.set(id, problem)
		this.context.events.warn('registration-unreadable', { backend: id, problem })
	}

	private applyRegistration(registration: BackendRegistration): void {
		const { backends, timers, events } = this.context
		const { id, service, draining, incarnation, capacity } = registration
		const previous = this.registrations.get(id)
		const row = backends.getOrCreate(id)
		const isChanged =
			!row.registered ||
			previous?.service !== service ||
			previous.draining !== draining ||
			previous.incarnation !== incarnation ||
			!isSameCapacity(previous.capacity, capacity) ||
			previous.absentTime !== registration.absentTime
		this.registrations.set(id, registration)
		row.warmupLeft = registration.warmupLeft ?? 0
		if (!isChanged) return
		if (previous && previous.incarnation !== incarnation) row.cordoned = false
		if (!row.registered) row.idleSince = timers.now()
		this.describe(registration)
		row.registered = true
		const { machine, address } = registration
		const details = { backend: id, machine, address, service, draining, ...capacity }
		events.info('backend-registered', details)
		this.options.onChange(row)
	}

	/** Updates a row from a registration, without making it one of the registered servers. */
	private describe(registration: BackendRegistration): void {
		const row = this.context.backends.getOrCreate(registration.id)
		row.machine = registration.machine
		row.service = registration.service
		row.address = registration.address
		row.zone = registration.zone
		row.evacuated = this.context.evacuatedZones.has(registration.zone)
		row.labels = registration.labels
		row.capacity = registration.capacity
		row.draining = registration.draining
	}

	/** Deregisters backend servers that an earlier owner knew but the registry no longer contains. */
	private deregisterUnlisted(): void {
		for (const id of [...this.registrations.keys()]) {
			const row = this.context.backends.get(id)
			if (!this.follower.has(id)) this.deregister(id)
			else if (row && this.unreadable.has(id)) this.removeRegistration(row)
		}
	}

	/** Deregisters a backend server, after the grace time if the log was recently unreachable. */
	private deregister(id: string): void {
		const row = this.context.backends.get(id)
		if (!row || !this.registrations.has(id)) return
		const { recoveredAt = -Infinity } = this.follower
		const now = this.context.timers.now()
		if (recoveredAt + DEREGISTRATION_GRACE > now) this.awaitReturn(row, recoveredAt)
		else this.removeRegistration(row)
	}

	/**
	 * Deregisters a backend server unless it registers anew while the log answers. Time in which the log
	 * is lost again does not count, and does not start the wait over; nor does a change of the owner, since
	 * the time is recorded.
	 *
	 * @param countedTo - monotonic instant up to which the log's answers have been counted
	 */
	private awaitReturn(row: BackendRow, countedTo: number): void {
		this.context.timers.after(GRACE_INTERVAL, () => {
			const registration = this.registrations.get(row.id)
			if (!registration || this.follower.has(row.id) || !this.context.mayAct()) return
			const { lastContactAt = -Infinity, recoveredAt = -Infinity } = this.follower
			const answered = Math.max(0, lastContactAt - Math.max(countedTo, recoveredAt))
			const absentTime = (registration.absentTime ?? 0) + answered
			if (absentTime >= DEREGISTRATION_GRACE) {
				this.removeRegistration(row)
				return
			}
			if (answered > 0) {
				this.registrations.set(row.id, { ...registration, absentTime })
				this.options.onChange(row)
			}
			this.awaitReturn(row, Math.max(countedTo, lastContactAt))
		})
	}

	private removeRegistration(row: BackendRow): void {
		if (!this.registrations.delete(row.id)) return
		row.registered = false
		this.context.events.info('backend-deregistered', { backend: row.id, service: row.service })
		this.options.onChange(row)
	}
}

function isSameCapacity(a: Resources, b: Resources): boolean {
	return a.cpu === b.cpu && a.memory === b.memory && a.gpu === b.gpu
}
