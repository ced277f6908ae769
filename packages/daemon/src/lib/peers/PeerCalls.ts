import type { InstanceId, LoanReply, LoanRequest, LoanReturn, SlotGrant } from '@mastichead/core'
import type {
	BorrowReply,
	ClaimReply,
	GrantSlotsReply,
	ReturnReply,
	SettleReply,
	SlotGrants,
	SlotReport,
} from '@mastichead/protocol'
import { LoanTransport } from './LoanTransport.js'
import type { Peer } from './Peer.js'

const LOAN_TIMEOUT_MILLISECONDS = 1000
const CLAIM_TIMEOUT_MILLISECONDS = 1000
const SLOT_TIMEOUT_MILLISECONDS = 500

/**
 * Calls to individual peers for loans, claims and slots. Each call has a timeout.
 *
 * @public
 */
export class PeerCalls extends LoanTransport {
	/**
	 * @param instance - incarnation of this daemon
	 * @param findPeer - returns a peer, or undefined if it is not a member
	 */
	constructor(
		private readonly instance: InstanceId,
		private readonly findPeer: (instance: InstanceId) => Peer | undefined
	) {
		super()
	}

	override async borrow(
		lender: InstanceId,
		requests: readonly LoanRequest[]
	): Promise<readonly LoanReply[] | undefined> {
		const borrower = this.instance
		const loans = requests.map(({ loan, team, amount }) => ({ loan, team, amount }))
		const reply = await this.findPeer(lender)?.client.call<BorrowReply>(
			(stub, callback) => stub.borrow({ borrower, lender, loans }, callback),
			LOAN_TIMEOUT_MILLISECONDS
		)
		return reply?.loans.length === requests.length ? reply.loans : undefined
	}

	override async returnLoans(lender: InstanceId, returns: readonly LoanReturn[]): Promise<boolean> {
		const borrower = this.instance
		const loans = returns.map(({ loan, remaining }) => ({ loan, remaining }))
		const reply = await this.findPeer(lender)?.client.call<ReturnReply>(
			(stub, callback) => stub.return({ borrower, loans }, callback),
			LOAN_TIMEOUT_MILLISECONDS
		)
		return reply !== undefined
	}

	/**
	 * Claims a request id at its issuer.
	 *
	 * @param executor - the claimant, in the wire's terms
	 * @returns the outcome sent in `ClaimReply`, or undefined if the issuer did not answer
	 */
	async claim(
		issuer: InstanceId,
		requestId: string,
		executor: string
	): Promise<string | undefined> {
		const reply = await this.findPeer(issuer)?.client.call<ClaimReply>(
			(stub, callback) => stub.claim({ requestId, executor }, callback),
			CLAIM_TIMEOUT_MILLISECONDS
		)
		return reply?.outcome
	}

	/**
	 * Reports the verdict of a claimed request to its issuer.
	 *
	 * @returns whether the issuer answered
	 */
	async settle(
		issuer: InstanceId,
		settlement: { readonly requestId: string; readonly executor: string; readonly verdict: string }
	): Promise<boolean> {
		const reply = await this.findPeer(issuer)?.client.call<SettleReply>(
			(stub, callback) => stub.settle(settlement, callback),
			CLAIM_TIMEOUT_MILLISECONDS
		)
		return reply !== undefined
	}

	/**
	 * Sends a report to the owner of a pool's slots.
	 *
	 * @returns the owner's grants, or undefined if it did not answer
	 */
	reportSlots(owner: InstanceId, report: SlotReport): Promise<SlotGrants | undefined> {
		const call = this.findPeer(owner)?.client.call<SlotGrants>(
			(stub, callback) => stub.reportSlots(report, callback),
			SLOT_TIMEOUT_MILLISECONDS
		)
		return call ?? Promise.resolve(undefined)
	}

	/**
	 * Sends slot grants to a peer.
	 *
	 * @returns whether the peer answered
	 */
	async grantSlots(instance: InstanceId, grants: readonly SlotGrant[]): Promise<boolean> {
		const message = {
			owner: this.instance,
			pool: grants[0]?.pool ?? '',
			grants: [...grants],
		}
		const reply = await this.findPeer(instance)?.client.call<GrantSlotsReply>(
			(stub, callback) => stub.grantSlots(message, callback),
			SLOT_TIMEOUT_MILLISECONDS
		)
		return reply !== undefined
	}
}
