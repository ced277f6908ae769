import { type InstanceId, RequestIdTable, type TimerService, type Verdict } from '@mastichead/core'
import { randomBytes, randomUUID } from 'node:crypto'
import type { Refusal } from '../callers/Refusal.js'
import { RequestIdSource } from '../callers/RequestIdSource.js'

const RANDOM_BYTES = 12

/**
 * Issues request ids and settles claims on those that this instance issued.
 *
 * @public
 */
export class RequestIdManager extends RequestIdSource {
	private readonly table: RequestIdTable
	private readonly claimants = new Map<string, string>()

	constructor(timers: TimerService, issuer: InstanceId) {
		super()
		const createRandom = () => randomBytes(RANDOM_BYTES).toString('hex')
		this.table = new RequestIdTable({ timers, issuer, createRandom })
	}

	override issue(): string {
		return this.table.issue()
	}

	override claim(
		requestId: string
	): Promise<{ type: 'claimed'; requestId: string } | { type: 'refused'; refusal: Refusal }> {
		if (requestId === '') return Promise.resolve({ type: 'claimed', requestId: randomUUID() })
		const claimant = randomUUID()
		const claim = this.table.claim(requestId, claimant)
		if (claim.type === 'first') {
			this.claimants.set(requestId, claimant)
			return Promise.resolve({ type: 'claimed', requestId })
		}
		return Promise.resolve({
			type: 'refused',
			refusal: {
				status: 409,
				error: 'request-repeated',
				message: `the request id is ${claim.type}`,
				verdict: claim.type === 'settled' ? claim.verdict : 'may-have-run',
			},
		})
	}

	/** Records how a request ended. */
	settle(requestId: string, verdict: Verdict): void {
		const claimant = this.claimants.get(requestId)
		if (claimant === undefined) return
		this.claimants.delete(requestId)
		this.table.settle(requestId, claimant, verdict)
	}
}
