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
import type { InstanceId } from '@mastichead/core'
import type { AllowanceManager } from '../allowances/AllowanceManager.js'
import type { LogManager } from '../log/LogManager.js'
import type { ClaimHandler } from './ClaimHandler.js'
import type { SlotManager } from '../slots/SlotManager.js'
import { PeerHandler } from './PeerHandler.js'
import { parseSlotReport } from './parseSlotReport.js'

const MAXIMUM_PAGE_ENTRIES = 1000

interface Options {
	readonly allowances: () => AllowanceManager
	readonly log: LogManager
	readonly claims: ClaimHandler
	readonly slots: () => SlotManager
	readonly instance: InstanceId
	readonly answerExchange: (digest: Digest) => Digest
}

/**
 * Answers the calls of peers with the managers of this daemon.
 *
 * @internal
 */
export class LocalPeerHandler extends PeerHandler {
	constructor(private readonly options: Options) {
		super()
	}

	override exchange(digest: Digest): Digest {
		return this.options.answerExchange(digest)
	}

	override lend({ borrower, lender, loans }: BorrowRequest): BorrowReply {
		const allowances = this.options.allowances()
		return { loans: loans.map((loan) => allowances.lend({ ...loan, borrower, lender })) }
	}

	override acceptReturns({ loans }: ReturnRequest): void {
		const allowances = this.options.allowances()
		for (const { loan, remaining } of loans) allowances.acceptReturn({ loan, remaining })
	}

	override readLog({ from }: ReadLogRequest): ReadLogReply {
		const page = this.options.log.readLog(from)
		if (page.type === 'records') {
			return { entries: page.records.slice(0, MAXIMUM_PAGE_ENTRIES), snapshot: undefined }
		}
		const { through, hash, parts } = page.snapshot
		return { entries: [], snapshot: { through, hash, parts: [...parts] } }
	}

	override claim(request: ClaimRequest): string {
		return this.options.claims.claim(request)
	}

	override settle(request: SettleRequest): void {
		this.options.claims.settle(request)
	}

	override reportSlots(report: SlotReport): SlotGrants {
		const grants = this.options.slots().handleReport(parseSlotReport(report))
		return { owner: this.options.instance, pool: report.pool, grants }
	}

	override acceptGrants({ owner, pool, grants }: SlotGrants): void {
		const { instance } = this.options
		const rows = grants.map(({ id, server, team, urgency }) => ({
			id,
			server,
			team,
			instance,
			pool,
			urgency: urgency === 'urgent' ? ('urgent' as const) : ('ordinary' as const),
		}))
		this.options.slots().acceptGrants(owner, rows)
	}
}
