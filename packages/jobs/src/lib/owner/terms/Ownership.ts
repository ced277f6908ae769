import type { TimerService } from '@mastichead/core'
import type { EventLog } from '../../logs/EventLog.js'
import type { JoinResult } from '../../ports/JoinResult.js'
import type { MetadataLog } from '../../ports/MetadataLog.js'
import { LeaseTiming } from '../leases/LeaseTiming.js'
import type { Instant } from './Instant.js'
import { OwnerTiming } from './OwnerTiming.js'
import { SuspendAwareClock } from './SuspendAwareClock.js'

/**
 * Interval of the joins, which also serve as heartbeats, in milliseconds. A join does not wait for
 * the answer to the one before, so that a lost answer does not end the membership.
 */
const JOIN_INTERVAL = 300
/** Maximum number of joins without an answer at a time. */
const MAXIMUM_PENDING_JOINS = 4
/** Tokens reserved per group generation, because one member may start several terms in it. */
const TOKENS_PER_GENERATION = 1_000

/**
 * Keeps this instance a member of the group and reports when it acquires or loses ownership, and
 * under which fencing token. An instance that is not preferred as the owner only joins while there
 * is no sign of an owner.
 *
 * @public
 */
export class Ownership {
	private generation = 0
	private token: number | undefined
	private lastToken = 0
	/** Time at which the latest answered join was sent. */
	private lastContact: Instant | undefined
	private readonly pendingJoins = new Set<Promise<void>>()
	private readonly clock: SuspendAwareClock
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
			/** Returns the milliseconds since 1970. */
			readonly getWallTime: () => number
			/** Whether this instance has read enough of the log to be the owner. */
			readonly isReady: () => boolean
			/** Whether the owner should be this instance rather than one that is not preferred. */
			readonly isPreferred: boolean
			/** Returns the milliseconds since the latest record of an owner; undefined if unknown. */
			readonly getOwnerSilence: () => number | undefined
			readonly onAcquire: (token: number) => void
			readonly onLose: (reason: string) => void
		}
	) {
		this.clock = new SuspendAwareClock(options.timers, options.getWallTime)
	}

	start(): void {
		void this.run()
	}

	get isOwner(): boolean {
		return this.token !== undefined
	}

	/** Whether no other instance may rely on the leases of this one to expire yet. */
	get isCurrent(): boolean {
		return this.silence < LeaseTiming.maximumOwnerSilence
	}

	/** Whether this instance is still a member of the group, so that no other can be the owner. */
	get isMember(): boolean {
		return this.silence < OwnerTiming.membershipTimeout
	}

	/** Clears an ended term. A new one starts if the group still names this instance as the owner. */
	clearTerm(): void {
		this.token = undefined
	}

	/** Leaves the group, so that another instance takes over immediately. */
	async leave(): Promise<void> {
		this.stopped = true
		this.loseOwnership('leaving')
		// A join that arrives after the call to leave would restore the membership.
		await Promise.all(this.pendingJoins)
		await this.options.log.leave(this.options.member)
	}

	private async run(): Promise<void> {
		const { timers } = this.options
		while (!this.stopped) {
			if (this.mayJoin()) this.startJoin()
			await new Promise<void>((resolve) => timers.after(JOIN_INTERVAL, resolve))
		}
	}

	private mayJoin(): boolean {
		const { isPreferred, isReady, getOwnerSilence } = this.options
		if (this.token !== undefined) return true
		if (this.generation === 0 && !isReady()) return false
		return isPreferred || (getOwnerSilence() ?? 0) > OwnerTiming.standbyDelay
	}

	private startJoin(): void {
		if (this.pendingJoins.size >= MAXIMUM_PENDING_JOINS) return
		const join = this.join().finally(() => {
			this.pendingJoins.delete(join)
		})
		this.pendingJoins.add(join)
	}

	private async join(): Promise<void> {
		const { log, member } = this.options
		const sentAt = this.clock.now()
		const result = await log.join(member, OwnerTiming.membershipTimeout, this.generation)
		if (this.stopped) return
		if (result.kind === 'unavailable') this.handleUnavailableLog(result.reason)
		else this.handleJoined(result, sentAt)
	}

	private handleJoined(result: Extract<JoinResult, { kind: 'joined' }>, sentAt: Instant): void {
		// Answers may overtake each other; an older one says nothing about now.
		if (this.lastContact && sentAt.monotonic < this.lastContact.monotonic) return
		if (result.generation < this.generation) return
		this.lastContact = sentAt
		this.generation = result.generation
		if (!result.owner) this.loseOwnership('owned by another instance')
		else if (this.token === undefined && this.isMember) this.acquire()
	}

	private acquire(): void {
		const firstOfGeneration = this.generation * TOKENS_PER_GENERATION
		this.lastToken = Math.max(this.lastToken + 1, firstOfGeneration)
		this.token = this.lastToken
		this.options.events.info('ownership-acquired', {
			generation: this.generation,
			token: this.token,
			preferred: this.options.isPreferred,
			ownerSilence: this.options.getOwnerSilence(),
		})
		this.options.onAcquire(this.token)
	}

	private handleUnavailableLog(reason: string): void {
		if (!this.isCurrent) this.loseOwnership(`no answer from the log: ${reason}`)
	}

	/** Milliseconds since the latest answered join was sent. */
	private get silence(): number {
		return this.lastContact ? this.clock.getElapsed(this.lastContact) : 0
	}

	private loseOwnership(reason: string): void {
		if (this.token === undefined) return
		const { token } = this
		this.token = undefined
		this.options.events.warn('ownership-lost', {
			reason,
			token,
			generation: this.generation,
			silence: this.silence,
		})
		this.options.onLose(reason)
	}
}
