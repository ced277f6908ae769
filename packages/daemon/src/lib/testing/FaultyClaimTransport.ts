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

/** Time after which a call without an answer is given up. */
const CALL_TIMEOUT_MILLISECONDS = 200

/**
 * What becomes of one call: lost on the way there or back, or delivered again later.
 *
 * @internal
 */
interface Fault {
	readonly isLost: boolean
	readonly isAnswerLost: boolean
	/** Time to a second delivery; absent for none. */
	readonly repeatAfter?: Milliseconds | undefined
}

interface Options {
	readonly timers: TimerService
	/** The daemon that now answers at the address of an issuer; it may be another incarnation. */
	readonly getTarget: (issuer: InstanceId) => RequestIdManager | undefined
	readonly nextFault: () => Fault
}

/**
 * Carries claims between daemons in virtual time and loses, delays and repeats them.
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
		lost: Result,
		act: (target: RequestIdManager) => Result
	): Promise<Result> {
		const { timers, getTarget, nextFault: draw } = this.options
		const { isLost, isAnswerLost, repeatAfter } = draw()
		const deliver = () => {
			const target = getTarget(issuer)
			return target ? act(target) : lost
		}
		if (repeatAfter !== undefined) timers.after(repeatAfter, deliver)
		return new Promise((resolve) => {
			timers.after(isLost ? CALL_TIMEOUT_MILLISECONDS : 1, () => {
				const result = isLost ? lost : deliver()
				if (!isAnswerLost) resolve(result)
			})
			timers.after(CALL_TIMEOUT_MILLISECONDS, () => {
				resolve(lost)
			})
		})
	}
}
