import {
	isKeySecretValid,
	parseCallerKey,
	type InstanceId,
	type KeyId,
	type Milliseconds,
	type ProposalId,
	type Queue,
	type Subscription,
	type TeamId,
	type TimerService,
} from '@mastichead/core'
import { randomUUID } from 'node:crypto'
import type { Logger } from 'winston'
import { CallerAuthenticator } from '../callers/CallerAuthenticator.js'
import type { Refusal } from '../callers/Refusal.js'
import type { KeyReport } from './KeyReport.js'
import type { KeyLog } from './KeyLog.js'
import type { KeyWithdrawalOutcome } from './KeyWithdrawalOutcome.js'
import { createKeyRefusal } from './createKeyRefusal.js'
import { KeyFreshness } from './KeyFreshness.js'

const DEFAULT_ISOLATED_SERVE_LIMIT_MILLISECONDS = 900_000
const REPROPOSE_INTERVAL_MILLISECONDS = 5000
const BEARER_PATTERN = /^Bearer +(\S+) *$/i

type Authentication = ReturnType<CallerAuthenticator['authenticate']>

/**
 * Authenticates callers by key, and withdraws keys. A withdrawal takes effect here immediately,
 * spreads to peers ahead of the log, and is proposed until it is in the log.
 *
 * @public
 */
export class KeyManager extends CallerAuthenticator {
	/** Operator of each withdrawal that is not in the log yet, by key. */
	private readonly unloggedWithdrawals = new Map<KeyId, string>()
	private readonly inFlightProposals = new Set<KeyId>()
	private readonly freshness: KeyFreshness
	private timer: Subscription | undefined

	/**
	 * @param instance - name that this daemon joins under
	 * @param isolatedServeLimit - how long requests with a key are served after this daemon can no
	 *   longer learn of withdrawals, in milliseconds; 15 minutes by default, 0 for not at all
	 */
	constructor(
		private readonly timers: TimerService,
		private readonly log: KeyLog,
		private readonly logger: Logger,
		private readonly instance: InstanceId,
		private readonly isolatedServeLimit: Milliseconds = DEFAULT_ISOLATED_SERVE_LIMIT_MILLISECONDS
	) {
		super()
		this.freshness = new KeyFreshness(timers, log, instance)
	}

	start(): void {
		this.timer = this.timers.every(REPROPOSE_INTERVAL_MILLISECONDS, () => {
			this.repropose()
		})
	}

	stop(): void {
		this.timer?.cancel()
	}

	override authenticate(authorization: string | undefined, queue: Queue): Authentication {
		if (authorization === undefined) {
			if (queue.openTeam === undefined) return refuse(createKeyRefusal('key-missing'))
			return { type: 'authenticated', team: queue.openTeam }
		}
		const key = parseCallerKey(BEARER_PATTERN.exec(authorization)?.[1] ?? '')
		if (!key) return refuse(createKeyRefusal('key-malformed'))
		const team = this.findTeam(key.id, key.secret)
		if (team === undefined) return refuse(createKeyRefusal('key-refused'))
		if (this.isIsolated()) return refuse(createKeyRefusal('keys-isolated'))
		if (queue.teams && !queue.teams.includes(team)) {
			return refuse(createKeyRefusal('team-refused'))
		}
		return { type: 'authenticated', team }
	}

	/**
	 * Withdraws a key: here immediately, at peers with the next exchange, and in the log.
	 *
	 * @param timeout - how long to wait for the log, in milliseconds
	 */
	async withdraw(
		id: KeyId,
		operator: string,
		timeout?: Milliseconds
	): Promise<KeyWithdrawalOutcome> {
		this.recordWithdrawal(id, operator)
		const outcome = await this.propose(id, operator, timeout)
		if (outcome.type === 'undecided') return { type: 'spreading', reason: outcome.reason }
		if (this.isLogged(id)) return { type: 'logged', offset: outcome.decision.offset }
		return { type: 'spreading', reason: 'its proposal is made again' }
	}

	/** Returns the report to send to peers. */
	getReport(): KeyReport {
		this.removeLogged()
		return {
			instance: this.instance,
			withdrawnKeys: [...this.unloggedWithdrawals.keys()],
			age: this.freshness.getLogAge(),
			offset: this.log.sharedOffset,
		}
	}

	/**
	 * Accepts a report of a peer.
	 *
	 * @param requestedAt - monotonic instant before the report was requested; -Infinity if the peer
	 *   sent it unasked, since such a message may have been in transit for long
	 */
	handlePeerReport(report: KeyReport, requestedAt: Milliseconds): void {
		for (const id of report.withdrawnKeys) this.recordWithdrawal(id, 'peer')
		if (requestedAt > -Infinity) this.freshness.handleReport(report, requestedAt)
	}

	private findTeam(id: KeyId, secret: string): TeamId | undefined {
		const { keys, teams } = this.log.state
		const key = keys.get(id)
		const isActive =
			key?.state === 'active' && !this.unloggedWithdrawals.has(id) && teams.has(key.team)
		return isKeySecretValid(secret, isActive ? key.hash : undefined) ? key?.team : undefined
	}

	private isIsolated(): boolean {
		const maximumAge = Math.max(
			this.isolatedServeLimit,
			KeyFreshness.MAXIMUM_CONNECTED_AGE_MILLISECONDS
		)
		return !this.freshness.isFresh(maximumAge)
	}

	private recordWithdrawal(id: KeyId, operator: string): void {
		if (this.unloggedWithdrawals.has(id) || this.isLogged(id)) return
		this.unloggedWithdrawals.set(id, operator)
		this.logger.info('key-withdrawn', { keyId: id, operator })
	}

	private isLogged(id: KeyId): boolean {
		return this.log.state.keys.get(id)?.state === 'withdrawn'
	}

	private removeLogged(): void {
		for (const id of this.unloggedWithdrawals.keys())
			if (this.isLogged(id)) this.unloggedWithdrawals.delete(id)
	}

	private repropose(): void {
		this.removeLogged()
		for (const [id, operator] of this.unloggedWithdrawals) {
			if (!this.inFlightProposals.has(id)) void this.propose(id, operator)
		}
	}

	private async propose(id: KeyId, operator: string, timeout?: Milliseconds) {
		this.inFlightProposals.add(id)
		const proposalId = this.createProposalId(id)
		const outcome = await this.log.propose(
			{ kind: 'withdraw-key', id: proposalId, key: id, operator },
			timeout
		)
		this.inFlightProposals.delete(id)
		return outcome
	}

	/**
	 * Returns the proposal id of a withdrawal. All daemons use the same id, so that the fold accepts
	 * the withdrawal once. If that id was used without withdrawing the key, returns a unique one.
	 */
	private createProposalId(id: KeyId): ProposalId {
		const shared = `withdraw-${id}`
		const isUsed = this.log.state.decisions.has(shared) && !this.isLogged(id)
		return isUsed ? `${shared}-${randomUUID()}` : shared
	}
}

function refuse(refusal: Refusal): Authentication {
	return { type: 'refused', refusal }
}
