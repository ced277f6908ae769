import type { TimerService } from '@mastichead/core'
import type { EventLog } from '../logs/EventLog.js'
import type { MetadataLog } from '../ports/MetadataLog.js'
import { LeaseTiming } from './LeaseTiming.js'

/** Time without a join after which the log removes a member from the group, in milliseconds. */
const MEMBERSHIP_TIMEOUT = 1_200
/** Pause between two joins, which also serve as heartbeats, in milliseconds. */
const JOIN_PAUSE = 300
/** Tokens reserved per group generation, because one member may start several terms in it. */
const TOKENS_PER_GENERATION = 1_000

/**
 * Keeps this instance a member of the group and reports when it acquires or loses ownership, and
 * under which fencing token.
 *
 * @public
 */
export class Ownership {
	private generation = 0
	private token: number | undefined
	private lastToken = 0
	/** Time at which the latest answered join was sent, in milliseconds. */
	private lastContactAt: number | undefined
	private stopped = false

	/**
	 * @param options.onAcquire - called with the fencing token of a new term
	 * @param options.onLose - called when the term must end
	 */
	constructor(
		private readonly options: {
			readonly member: string
			readonly log: MetadataLog
			readonly timers: TimerService
			readonly events: EventLog
			/** Whether this instance has read enough of the log to be the owner. */
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
	 * Whether no other instance may rely on the leases of this one to expire yet. After a suspension of
	 * the process, its own clock is the only sign that this time has passed.
	 */
	get isCurrent(): boolean {
		return this.silence < LeaseTiming.maximumOwnerSilence
	}

	/** Clears an ended term. A new one starts if the group still names this instance as the owner. */
	clearTerm(): void {
		this.token = undefined
	}

	/** Leaves the group, so that another instance takes over immediately. */
	async leave(): Promise<void> {
		this.stopped = true
		this.loseOwnership('leaving')
		await this.options.log.leave(this.options.member)
	}

	private async run(): Promise<void> {
		const { timers } = this.options
		while (!this.stopped) {
			if (this.generation > 0 || this.options.isReady()) await this.join()
			await new Promise<void>((resolve) => timers.after(JOIN_PAUSE, resolve))
		}
	}

	private async join(): Promise<void> {
		const { log, member, timers } = this.options
		const sentAt = timers.now()
		const result = await log.join(member, MEMBERSHIP_TIMEOUT, this.generation)
		if (this.stopped) return
		if (result.kind === 'unavailable') {
			this.handleUnavailableLog(result.reason)
			return
		}
		this.lastContactAt = sentAt
		this.generation = result.generation
		if (!result.owner) this.loseOwnership('owned by another instance')
		else if (this.token === undefined) this.acquire()
	}

	private acquire(): void {
		const firstOfGeneration = this.generation * TOKENS_PER_GENERATION
		this.lastToken = Math.max(this.lastToken + 1, firstOfGeneration)
		this.token = this.lastToken
		this.options.events.info('ownership-acquired', {
			generation: this.generation,
			token: this.token,
		})
		this.options.onAcquire(this.token)
	}

	private handleUnavailableLog(reason: string): void {
		if (!this.isCurrent) this.loseOwnership(`no answer from the log: ${reason}`)
	}

	/** Milliseconds since the latest answered join was sent. */
	private get silence(): number {
		const now = this.options.timers.now()
		return now - (this.lastContactAt ?? now)
	}

	private loseOwnership(reason: string): void {
		if (this.token === undefined) return
		const { token } = this
		this.token = undefined
		this.options.events.warn('ownership-lost', { reason, token, generation: this.generation })
		this.options.onLose(reason)
	}
}
