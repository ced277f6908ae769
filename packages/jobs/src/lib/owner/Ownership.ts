import type { TimerService } from '@mastichead/core'
import type { EventLog } from '../logs/EventLog.js'
import type { MetadataLog } from '../ports/MetadataLog.js'
import { LeaseTiming } from './LeaseTiming.js'

/** Silence after which the log drops a member, in milliseconds. */
const MEMBERSHIP_TIMEOUT = 1_200
/** Pause between two joins, in milliseconds. */
const JOIN_PAUSE = 300
/** Tokens of one generation: a member may have to begin anew without the group having changed. */
const TOKENS_PER_GENERATION = 1_000

/**
 * Keeps this instance in the group and says when it becomes the owner, under which token, and
 * when it no longer is.
 *
 * @public
 */
export class Ownership {
	private generation = 0
	private token: number | undefined
	private lastToken = 0
	private lastContact: number | undefined
	private stopped = false

	/**
	 * @param parts.acquire - called with the fencing token of a new term
	 * @param parts.lose - called when the term has to end
	 */
	constructor(
		private readonly parts: {
			readonly member: string
			readonly log: MetadataLog
			readonly timers: TimerService
			readonly events: EventLog
			/** Whether this instance knows enough to be the owner. */
			readonly isReady: () => boolean
			readonly onAcquire: (token: number) => void
			readonly onLose: (reason: string) => void
		}
	) {}

	start(): void {
		void this.run()
	}

	get isOwner(): boolean {
		return this.token !== undefined
	}

	/**
	 * Whether another instance cannot yet count on the end of what this one holds. A process that
	 * was suspended may find out by its own clock only.
	 */
	get isCurrent(): boolean {
		return this.silence < LeaseTiming.maximumOwnerSilence
	}

	/** The present term has ended; a new one begins if the group still names this instance. */
	clearTerm(): void {
		this.token = undefined
	}

	/** Leaves the group, so that another instance takes over at once. */
	async leave(): Promise<void> {
		this.stopped = true
		this.loseOwnership('leaving')
		await this.parts.log.leave(this.parts.member)
	}

	private async run(): Promise<void> {
		const { timers } = this.parts
		while (!this.stopped) {
			if (this.generation > 0 || this.parts.isReady()) await this.join()
			await new Promise<void>((resolve) => timers.after(JOIN_PAUSE, resolve))
		}
	}

	private async join(): Promise<void> {
		const { log, member, timers } = this.parts
		const sentAt = timers.now()
		const result = await log.join(member, MEMBERSHIP_TIMEOUT, this.generation)
		if (this.stopped) return
		if (result.kind === 'unavailable') {
			this.handleUnavailableLog(result.reason)
			return
		}
		this.lastContact = sentAt
		this.generation = result.generation
		if (!result.owner) this.loseOwnership('owned by another instance')
		else if (this.token === undefined) this.acquire()
	}

	private acquire(): void {
		const first = this.generation * TOKENS_PER_GENERATION
		this.lastToken = Math.max(this.lastToken + 1, first)
		this.token = this.lastToken
		this.parts.events.info('ownership-acquired', { generation: this.generation, token: this.token })
		this.parts.onAcquire(this.token)
	}

	private handleUnavailableLog(reason: string): void {
		if (!this.isCurrent) this.loseOwnership(`no answer from the log: ${reason}`)
	}

	/** Milliseconds since the log was asked for the last answer that came. */
	private get silence(): number {
		const now = this.parts.timers.now()
		return now - (this.lastContact ?? now)
	}

	private loseOwnership(reason: string): void {
		if (this.token === undefined) return
		const { token } = this
		this.token = undefined
		this.parts.events.warn('ownership-lost', { reason, token, generation: this.generation })
		this.parts.onLose(reason)
	}
}
