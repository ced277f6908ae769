import type {
	BorrowReply,
	BorrowRequest,
	ClaimRequest,
	Digest,
	ReadLogReply,
	ReadLogRequest,
	ReturnRequest,
	SettleRequest,
	SlotGrants,
	SlotReport,
} from '@mastichead/protocol'

/**
 * Answers the calls of other daemons.
 *
 * @public
 */
export abstract class PeerHandler {
	/** Processes the digest of a peer and returns this daemon's digest without loads. */
	abstract exchange(digest: Digest): Digest
	abstract lend(request: BorrowRequest): BorrowReply
	abstract acceptReturns(request: ReturnRequest): void
	abstract readLog(request: ReadLogRequest): ReadLogReply
	/** @returns outcome of the claim, as sent in `ClaimReply` */
	abstract claim(request: ClaimRequest): string
	abstract settle(request: SettleRequest): void
	/** Processes a report as owner of a pool's slots and returns the grants for the reporter. */
	abstract reportSlots(report: SlotReport): SlotGrants
	abstract acceptGrants(grants: SlotGrants): void
}
