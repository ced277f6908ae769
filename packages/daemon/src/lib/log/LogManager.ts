import {
	type Decision,
	type FleetState,
	Fold,
	type Milliseconds,
	parseProposal,
	type Proposal,
	type ProposalId,
	type Subscription,
	type TimerService,
} from '@mastichead/core'
import { request } from 'undici'
import type { Logger } from 'winston'

const READ_LIMIT = 1000
const LONG_READ_MILLISECONDS = 5000
const RETRY_MILLISECONDS = 200

interface Options {
	readonly timers: TimerService
	readonly logger: Logger
	readonly url: string
	readonly instance: string
}

interface ReadAnswer {
	readonly entries: readonly { offset: number; at: Milliseconds; record: string }[]
}

/**
 * Follows the platform's log, folds it, and appends proposals.
 *
 * @public
 */
export class LogManager {
	private readonly fold = new Fold()
	private readonly listeners = new Set<() => void>()
	private readonly waiting = new Map<ProposalId, (decision: Decision) => void>()
	private isRunning = false

	constructor(private readonly options: Options) {}

	get state(): FleetState {
		return this.fold.state
	}

	/** Starts following; resolves after the first read that reached the end of the log. */
	async start(): Promise<void> {
		this.isRunning = true
		for (let isAtEnd = false; !isAtEnd;) isAtEnd = await this.readOnce(0)
		void this.follow()
	}

	stop(): void {
		this.isRunning = false
	}

	/** Calls `listener` after each folded batch. */
	subscribe(listener: () => void): Subscription {
		this.listeners.add(listener)
		return { cancel: () => this.listeners.delete(listener) }
	}

	/** Appends a proposal and resolves with the fold's decision on it. */
	async propose(proposal: Proposal): Promise<Decision> {
		const decided = new Promise<Decision>((resolve) => this.waiting.set(proposal.id, resolve))
		const body = JSON.stringify({ records: [JSON.stringify(proposal)] })
		await this.call('/log/append', body).catch((error: unknown) => {
			this.options.logger.warn('append-failed', { reason: String(error) })
		})
		return decided
	}

	private async follow(): Promise<void> {
		while (this.isRunning) await this.readOnce(LONG_READ_MILLISECONDS)
	}

	private async readOnce(wait: Milliseconds): Promise<boolean> {
		const from = this.state.offset + 1
		try {
			const path = `/log/read?from=${from}&limit=${READ_LIMIT}&wait=${wait}`
			const answer = (await this.call(path)) as ReadAnswer
			for (const entry of answer.entries) this.take(entry)
			if (answer.entries.length > 0) for (const listener of this.listeners) listener()
			return answer.entries.length < READ_LIMIT
		} catch (error) {
			this.options.logger.warn('read-failed', { reason: String(error) })
			await new Promise<void>((resolve) => this.options.timers.after(RETRY_MILLISECONDS, resolve))
			return false
		}
	}

	private take(entry: ReadAnswer['entries'][number]): void {
		const proposal = parseProposal(entry.record, entry.offset)
		const decision = this.fold.take({ offset: entry.offset, at: entry.at, proposal })
		if (!decision) return
		this.waiting.get(proposal.id)?.(decision)
		this.waiting.delete(proposal.id)
	}

	private async call(path: string, body?: string): Promise<unknown> {
		const answer = await request(this.options.url + path, {
			method: body === undefined ? 'GET' : 'POST',
			headers: { 'mastichead-instance': this.options.instance },
			body: body ?? null,
		})
		if (answer.statusCode !== 200) {
			await answer.body.dump()
			throw new Error(`the platform answered ${answer.statusCode}`)
		}
		return answer.body.json()
	}
}
