import {
	parseRequestId,
	RequestIdTable,
	type InstanceId,
	type RequestId,
	type RequestIdClaimResult,
	type TimerService,
	type Verdict,
} from '@mastichead/core'
import { randomBytes } from 'node:crypto'
import type { Logger } from 'winston'
import { RequestIdRegistry } from '../callers/RequestIdRegistry.js'
import type { ClaimTransport } from './ClaimTransport.js'
import { createClaimRefusal } from './createClaimRefusal.js'

/** Length of the random part of a request id. */
const RANDOM_BYTES = 16

const MAXIMUM_CLAIM_ATTEMPTS = 2

/** Delay before each retry of a settlement. */
const SETTLE_RETRY_DELAYS_MILLISECONDS = [100, 1000, 5000]

interface Options {
	readonly timers: TimerService
	/** Incarnation of this daemon. */
	readonly instance: InstanceId
	readonly transport: ClaimTransport
	readonly logger: Logger
	/** Creates the random part of a request id; by default 16 random bytes in hex. */
	readonly createRandom?: () => string
}

/**
 * Issues request ids, records the ids that it issued, and claims the ids that callers present at
 * their issuers. A claim is held from before the request is queued until the request ends.
 *
 * @public
 */
export class RequestIdManager extends RequestIdRegistry {
	private readonly table: RequestIdTable
	/** By request id, the claimant under which this daemon holds the claim. */
	private readonly claims = new Map<RequestId, string>()
	private lastClaimNumber = 0

	constructor(private readonly options: Options) {
		super()
		const { timers, instance } = options
		const createRandom = options.createRandom ?? (() => randomBytes(RANDOM_BYTES).toString('hex'))
		this.table = new RequestIdTable({ timers, issuer: instance, createRandom })
	}

	/** Number of claims that this daemon holds. */
	get claimCount(): number {
		return this.claims.size
	}

	override issue(): RequestId {
		return this.table.issue()
	}

	override async claim(
		requestId: RequestId,
		request: { readonly idempotent: boolean }
	): ReturnType<RequestIdRegistry['claim']> {
		if (requestId === '') return { type: 'claimed', requestId: this.table.createUnrecordedId() }
		if (request.idempotent) return { type: 'claimed', requestId }
		const issuer = parseRequestId(requestId)?.issuer
		if (issuer === undefined) return refuse({ type: 'unknown' })
		const claimant = `${this.options.instance}#${++this.lastClaimNumber}`
		const claim = await this.claimAtIssuer(issuer, requestId, claimant)
		if (claim.type !== 'first') return refuse(claim)
		this.claims.set(requestId, claimant)
		return { type: 'claimed', requestId }
	}

	override settle(requestId: RequestId, verdict: Verdict): void {
		const claimant = this.claims.get(requestId)
		if (claimant === undefined) return
		this.claims.delete(requestId)
		this.settleAtIssuer(requestId, claimant, verdict)
	}

	/** Claims a request id that this daemon issued. */
	claimIssued(requestId: RequestId, claimant: string): RequestIdClaimResult {
		return this.table.claim(requestId, claimant)
	}

	/** Records the verdict of a claimed request id that this daemon issued. */
	settleIssued(requestId: RequestId, claimant: string, verdict: Verdict): void {
		this.table.settle(requestId, claimant, verdict)
	}

	/**
	 * Claims an id at its issuer. If the issuer does not answer, settles the claim as not run, since
	 * the issuer may have recorded it.
	 */
	private async claimAtIssuer(
		issuer: InstanceId,
		requestId: RequestId,
		claimant: string
	): Promise<RequestIdClaimResult | { readonly type: 'unreachable' }> {
		if (issuer === this.options.instance) return this.claimIssued(requestId, claimant)
		for (let attempt = 0; attempt < MAXIMUM_CLAIM_ATTEMPTS; attempt++) {
			const claim = await this.options.transport.claim(issuer, { requestId, claimant })
			if (claim.type !== 'unreachable') return claim
		}
		this.options.logger.warn('claim-unanswered', { requestId, issuer })
		this.settleAtIssuer(requestId, claimant, 'not-run')
		return { type: 'unreachable' }
	}

	private settleAtIssuer(requestId: RequestId, claimant: string, verdict: Verdict): void {
		const issuer = parseRequestId(requestId)?.issuer
		if (issuer === undefined) return
		if (issuer === this.options.instance) this.settleIssued(requestId, claimant, verdict)
		else void this.sendSettlement(issuer, { requestId, claimant, verdict }, 0)
	}

	private async sendSettlement(
		issuer: InstanceId,
		settlement: { requestId: RequestId; claimant: string; verdict: Verdict },
		failures: number
	): Promise<void> {
		if (await this.options.transport.settle(issuer, settlement)) return
		const delay = SETTLE_RETRY_DELAYS_MILLISECONDS[failures]
		if (delay === undefined) {
			const { requestId, verdict } = settlement
			this.options.logger.warn('settlement-unanswered', { requestId, issuer, verdict })
			return
		}
		this.options.timers.after(delay, () => {
			void this.sendSettlement(issuer, settlement, failures + 1)
		})
	}
}

function refuse(claim: Parameters<typeof createClaimRefusal>[0]) {
	return { type: 'refused', refusal: createClaimRefusal(claim) } as const
}
