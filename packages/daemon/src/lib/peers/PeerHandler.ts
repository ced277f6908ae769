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
 * Answers the calls of other entry instances.
 *
 * @public
 */
export abstract class PeerHandler {
	/** Takes a peer's digest and gives the own one, without its loads. */
	abstract exchange(digest: Digest): Digest
	abstract lend(request: BorrowRequest): BorrowReply
	abstract acceptReturns(request: ReturnRequest): void
	abstract readLog(request: ReadLogRequest): ReadLogReply
	/** @returns outcome of the claim, as the wire names it */
	abstract claim(request: ClaimRequest): string
	abstract settle(request: SettleRequest): void
	/** Takes a report as owner of a pool's slots. */
	abstract reportSlots(report: SlotReport): SlotGrants
	abstract acceptGrants(grants: SlotGrants): void
}
