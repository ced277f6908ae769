import {
	assert,
	type Milliseconds,
	type Proposal,
	type ProposalId,
	type Subscription,
	type TimerService,
} from '@mastichead/core'
import type { LogAppender } from './LogAppender.js'
import type { LogReplica } from './LogReplica.js'
import type { ProposalOutcome } from './ProposalOutcome.js'

interface PendingProposal {
	readonly timer: Subscription
	readonly outcome: Promise<ProposalOutcome>
	readonly resolve: (outcome: ProposalOutcome) => void
}

/**
 * Tracks pending proposals and settles each one once the folded state has a decision for its id.
 *
 * @internal
 */
export class ProposalTracker {
	private readonly pending = new Map<ProposalId, PendingProposal>()

	constructor(
		private readonly timers: TimerService,
		private readonly replica: LogReplica,
		private readonly appender: LogAppender
	) {
		replica.onChange(() => {
			this.settleDecided()
		})
	}

	propose(proposal: Proposal, timeout: Milliseconds): Promise<ProposalOutcome> {
		const { id } = proposal
		const decision = this.replica.state.decisions.get(id)
		if (decision) return Promise.resolve({ type: 'decided', decision })
		const existing = this.pending.get(id)
		if (existing) return existing.outcome
		const added = this.appender.add(id, JSON.stringify(proposal), (reason) => {
			this.settle(id, { type: 'undecided', mayTakeEffect: false, reason })
		})
		if (!added) {
			return Promise.resolve({
				type: 'undecided',
				mayTakeEffect: false,
				reason: 'the append queue takes no more',
			})
		}
		return this.track(id, timeout)
	}

	stop(): void {
		for (const id of [...this.pending.keys()]) this.abandon(id, 'stopped')
	}

	private track(id: ProposalId, timeout: Milliseconds): Promise<ProposalOutcome> {
		const timer = this.timers.after(timeout, () => {
			this.abandon(id, `not folded within ${timeout} ms`)
		})
		let resolve: PendingProposal['resolve'] | undefined
		const outcome = new Promise<ProposalOutcome>((settle) => {
			resolve = settle
		})
		assert(resolve, 'a promise calls its executor synchronously')
		this.pending.set(id, { timer, outcome, resolve })
		return outcome
	}

	private abandon(id: ProposalId, reason: string): void {
		const mayTakeEffect = this.appender.remove(id)
		this.settle(id, { type: 'undecided', mayTakeEffect, reason })
	}

	private settle(id: ProposalId, outcome: ProposalOutcome): void {
		const pending = this.pending.get(id)
		if (!pending) return
		this.pending.delete(id)
		this.appender.remove(id)
		pending.timer.cancel()
		pending.resolve(outcome)
	}

	/**
	 * Reads decisions from the state, not from entries, since some arrive with a restored snapshot.
	 */
	private settleDecided(): void {
		for (const id of [...this.pending.keys()]) {
			const decision = this.replica.state.decisions.get(id)
			if (decision) this.settle(id, { type: 'decided', decision })
		}
	}
}
