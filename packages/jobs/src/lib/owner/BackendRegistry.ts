import type { BackendRow } from '@mastichead/core'
import { StreamFollower } from '../log/StreamFollower.js'
import type { LogEntry } from '../ports/LogEntry.js'
import type { MetadataLog } from '../ports/MetadataLog.js'
import type { OperatorFormat } from '../ports/OperatorFormat.js'
import type { OwnerContext } from './OwnerContext.js'

/** Time that a read waits for a registration to change, and the pause after it, in milliseconds. */
const READ_WAIT = 500
const READ_PAUSE = 250
/**
 * For this long after the log was out of reach, an entry that has gone may only have lapsed and
 * is kept, in milliseconds.
 */
const LAPSE_GRACE = 2_500

/**
 * Follows the registrations of backend servers and keeps their rows.
 *
 * @public
 */
export class BackendRegistry {
	readonly follower: StreamFollower
	private graceUntil = 0

	constructor(
		private readonly context: OwnerContext,
		log: MetadataLog,
		private readonly format: OperatorFormat,
		private readonly noteChange: (row: BackendRow) => void
	) {
		const { timers, events } = context
		this.follower = new StreamFollower(
			'backends',
			log,
			timers,
			events,
			(entry) => {
				this.apply(entry)
			},
			{ wait: READ_WAIT, getPause: () => READ_PAUSE }
		)
	}

	/** Keeps entries that go while the log is, or just was, out of reach. */
	noteLogTrouble(): void {
		this.graceUntil = this.context.timers.now() + LAPSE_GRACE
	}

	private apply(entry: LogEntry): void {
		if (entry.value === undefined) {
			this.drop(entry.key)
			return
		}
		const registration = this.format.decodeRegistration(entry.key, entry.value)
		if ('kind' in registration) {
			const { events } = this.context
			events.warn('registration-unreadable', { backend: entry.key, problem: registration.problem })
			return
		}
		const known = this.context.backends.get(entry.key)
		const row = this.context.backends.use(registration.id)
		const changed =
			known?.registered !== true ||
			row.service !== registration.service ||
			row.draining !== registration.draining ||
			row.incarnation !== registration.incarnation
		if (row.incarnation !== registration.incarnation) row.closing = false
		row.machine = registration.machine
		row.service = registration.service
		row.address = registration.address
		row.zone = registration.zone
		row.labels = registration.labels
		row.capacity = registration.capacity
		row.draining = registration.draining
		if (!row.registered || known === undefined) row.idleSince = this.context.timers.now()
		row.registered = true
		if (!changed) return
		const { id, service, draining } = row
		this.context.events.info('backend-registered', { backend: id, service, draining })
		this.noteChange(row)
	}

	private drop(id: string): void {
		const row = this.context.backends.get(id)
		if (!row?.registered) return
		const { timers, events } = this.context
		const delay = this.graceUntil - timers.now()
		if (delay > 0) {
			timers.after(delay, () => {
				if (!this.isListed(id)) this.drop(id)
			})
			return
		}
		row.registered = false
		events.info('backend-deregistered', { backend: id, service: row.service })
		this.noteChange(row)
	}

	private isListed(id: string): boolean {
		return this.follower.has(id)
	}
}
