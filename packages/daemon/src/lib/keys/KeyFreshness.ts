import type { FleetState, InstanceId, Milliseconds, TimerService } from '@mastichead/core'
import type { KeyKnowledge } from './KeyKnowledge.js'
import type { KeyLog } from './KeyLog.js'

const NEVER = -Infinity

interface WaitingKnowledge {
	readonly knowledge: KeyKnowledge
	readonly askedAt: Milliseconds
}

/**
 * Knows how long ago this daemon could last have learned of a withdrawal: from the platform, from
 * a peer that had reached it, or from more than half of the members, where an operator may have
 * withdrawn a key while the platform is down.
 *
 * @internal
 */
export class KeyFreshness {
	/** Age that a daemon in contact with the platform may show between two reads. */
	static readonly ORDINARY_MILLISECONDS: Milliseconds = 5000

	private logKnownAt = NEVER
	private readonly contacts = new Map<InstanceId, Milliseconds>()
	/** What peers ahead of the own fold told; one each, the oldest that still waits. */
	private readonly waiting = new Map<InstanceId, WaitingKnowledge>()

	constructor(
		private readonly timers: TimerService,
		private readonly log: KeyLog,
		private readonly instance: InstanceId
	) {}

	/** Age of the knowledge of the log, in milliseconds; undefined when it was never heard of. */
	getLogAge(): Milliseconds | undefined {
		this.settle()
		const knownAt = Math.max(this.log.platformContactAt ?? NEVER, this.logKnownAt)
		return knownAt === NEVER ? undefined : this.timers.now() - knownAt
	}

	/** Whether a withdrawal would have been learned within `age` milliseconds. */
	isWithin(age: Milliseconds): boolean {
		if ((this.getLogAge() ?? Infinity) <= age) return true
		return this.timers.now() - this.getMajorityContactAt(this.log.state) <= age
	}

	/**
	 * Takes in what a peer knows of the log. It counts only once the own state includes what the
	 * peer had folded, so that a withdrawal in between is known here too.
	 */
	learn(knowledge: KeyKnowledge, askedAt: Milliseconds): void {
		this.settle()
		if (knowledge.offset < 0) return
		if (this.waiting.has(knowledge.instance)) return
		this.waiting.set(knowledge.instance, { knowledge, askedAt })
		this.settle()
	}

	private settle(): void {
		for (const { knowledge, askedAt } of this.waiting.values()) {
			const { instance, age, offset } = knowledge
			if (offset > this.log.state.offset) continue
			this.waiting.delete(instance)
			this.contacts.set(instance, Math.max(this.contacts.get(instance) ?? NEVER, askedAt))
			if (age !== undefined) this.logKnownAt = Math.max(this.logKnownAt, askedAt - age)
		}
	}

	/** The latest instant since which more than half of the members, this one included, answered. */
	private getMajorityContactAt({ members }: FleetState): Milliseconds {
		for (const name of this.contacts.keys()) if (!members.has(name)) this.contacts.delete(name)
		if (!members.has(this.instance)) return NEVER
		const others = [...members.values()].filter(
			({ instance, lapsed }) => !lapsed && instance !== this.instance
		)
		if (others.length === 0) return NEVER
		const contacts = others.map(({ instance }) => this.contacts.get(instance) ?? NEVER)
		contacts.sort((a, b) => b - a)
		return contacts[Math.ceil(others.length / 2) - 1] ?? NEVER
	}
}
