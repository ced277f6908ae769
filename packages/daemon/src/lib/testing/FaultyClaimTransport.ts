import {
	type InstanceId,
	type Milliseconds,
	type RequestId,
	type RequestIdClaimResult,
	type TimerService,
	type Verdict,
} from '@mastichead/core'
import { ClaimTransport } from '../requestIds/ClaimTransport.js'
import type { RequestIdManager } from '../requestIds/RequestIdManager.js'

/** Timeout of a call. */
const CALL_TIMEOUT_MILLISECONDS = 200

/**
 * Faults of one call: request lost, response lost, or request delivered again later.
 *
 * @internal
 */
interface Fault {
	readonly isLost: boolean
	readonly isAnswerLost: boolean
	/** Delay of a second delivery; undefined for none. */
	readonly repeatAfter?: Milliseconds | undefined
}

interface Options {
	readonly timers: TimerService
	/** Returns the daemon currently at the address of an issuer; it may be another incarnation. */
	readonly getTarget: (issuer: InstanceId) => RequestIdManager | undefined
	readonly nextFault: () => Fault
}

/**
 * A claim transport in virtual time that loses, delays and repeats calls.
 *
 * @internal
 */
export class FaultyClaimTransport extends ClaimTransport {
	constructor(private readonly options: Options) {
		super()
	}

	override claim(
		issuer: InstanceId,
		{ requestId, claimant }: { requestId: RequestId; claimant: string }
	): Promise<RequestIdClaimResult | { type: 'unreachable' }> {
		return this.call<RequestIdClaimResult | { type: 'unreachable' }>(
			issuer,
			{ type: 'unreachable' },
			(target) => target.claimIssued(requestId, claimant)
		)
	}

	override settle(
		issuer: InstanceId,
		{ requestId, claimant, verdict }: { requestId: RequestId; claimant: string; verdict: Verdict }
	): Promise<boolean> {
		return this.call(issuer, false, (target) => {
			target.settleIssued(requestId, claimant, verdict)
			return true
		})
	}

	private call<Result>(
		issuer: InstanceId,
		lostResult: Result,
		handle: (target: RequestIdManager) => Result
	): Promise<Result> {
		const { timers, getTarget, nextFault } = this.options
		const { isLost, isAnswerLost, repeatAfter } = nextFault()
		const deliver = () => {
			const target = getTarget(issuer)
			return target ? handle(target) : lostResult
		}
		if (repeatAfter !== undefined) timers.after(repeatAfter, deliver)
		return new Promise((resolve) => {
			timers.after(isLost ? CALL_TIMEOUT_MILLISECONDS : 1, () => {
				const result = isLost ? lostResult : deliver()
				if (!isAnswerLost) resolve(result)
			})
			timers.after(CALL_TIMEOUT_MILLISECONDS, () => {
				resolve(lostResult)
			})
		})
	}
}
