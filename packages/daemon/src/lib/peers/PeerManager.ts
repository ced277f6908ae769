import type { ChannelCredentials, ServerCredentials } from '@grpc/grpc-js'
import type {
	BackendServerId,
	DaemonStatus,
	FleetState,
	InstanceId,
	LoanReply,
	LoanRequest,
	LoanReturn,
	Milliseconds,
	PoolId,
	SlotGrant,
	Subscription,
	TeamId,
	TeamLoad,
	TimerService,
} from '@mastichead/core'
import type {
	BorrowReply,
	ClaimReply,
	Digest,
	GrantSlotsReply,
	ReturnReply,
	SettleReply,
	SlotGrants,
	SlotReport,
} from '@mastichead/protocol'
import type { Logger } from 'winston'
import type { KeyKnowledge } from '../keys/KeyKnowledge.js'
import type { PeerLog } from '../log/PeerLog.js'
import { createDigestRows } from './createDigestRows.js'
import { createPeerStatus } from './createPeerStatus.js'
import type { DigestRow } from './DigestRow.js'
import type { DigestSource } from './DigestSource.js'
import { LoanTransport } from './LoanTransport.js'
import type { Peer } from './Peer.js'
import type { PeerHandler } from './PeerHandler.js'
import { PeerServer } from './PeerServer.js'
import { PeerTable } from './PeerTable.js'
import { RemoteLog } from './RemoteLog.js'

const EXCHANGE_INTERVAL_MILLISECONDS = 500
/** Time between two digests to a peer that misses nothing. */
const QUIET_INTERVAL_MILLISECONDS = 2000
const EXCHANGE_DEADLINE_MILLISECONDS = 1000
const LOAN_DEADLINE_MILLISECONDS = 1000
const CLAIM_DEADLINE_MILLISECONDS = 1000
const SLOT_DEADLINE_MILLISECONDS = 500

/** Bytes a second that the rows of all digests may take in each direction. */
const ROW_BYTES_PER_SECOND = 10_000

/** Age from which what a peer said of its load no longer counts. */
const MAXIMUM_LOAD_AGE_MILLISECONDS = 5000

interface Options {
	readonly timers: TimerService
	readonly logger: Logger
	readonly instance: InstanceId
	readonly host: string
	readonly port: number
	/** Address that this daemon joins with. */
	readonly address: string
	/** Peers to ask before any member is known. */
	readonly seeds: readonly string[]
	readonly serverCredentials: ServerCredentials
	readonly channelCredentials: ChannelCredentials
	readonly getState: () => FleetState
	readonly source: DigestSource
	/** Answers the calls of peers; exchanges through {@link PeerManager.answerExchange}. */
	readonly handler: PeerHandler
	/**
	 * Takes in what a peer knows of keys.
	 *
	 * @param askedAt - instant before the knowledge was asked for
	 */
	readonly onKeyKnowledge: (knowledge: KeyKnowledge, askedAt: Milliseconds) => void
	/** Takes in the loads that a peer tells; teams that it does not name are unchanged. */
	readonly onLoads: (digest: Digest) => void
}

/**
 * Exchanges digests with the other entry instances, and carries loans, claims and the log between
 * them.
 *
 * @public
 */
export class PeerManager extends LoanTransport {
	private readonly table: PeerTable
	private readonly server: PeerServer
	private timer: Subscription | undefined

	constructor(private readonly options: Options) {
		super()
		const { channelCredentials, serverCredentials } = options
		this.table = new PeerTable({ ...options, credentials: channelCredentials })
		this.server = new PeerServer({
			...options,
			credentials: serverCredentials,
		})
	}

	/** Opens the port and starts to exchange digests. @returns the port */
	async start(): Promise<number> {
		const port = await this.server.listen()
		this.timer = this.options.timers.every(EXCHANGE_INTERVAL_MILLISECONDS, () => {
			this.exchangeDue()
		})
		this.exchangeNow()
		return port
	}

	stop(): void {
		this.timer?.cancel()
		this.server.close()
		this.table.close()
	}

	/** Exchanges digests at once, as at the start of a shutdown. */
	exchangeNow(): void {
		this.table.update(this.options.getState())
		const rows = this.createRows()
		for (const peer of this.table.values()) {
			if (!peer.isExchanging) void this.exchange(peer, rows)
		}
	}

	/** Exchanges digests with peers that miss something, and with all now and then. */
	private exchangeDue(): void {
		this.table.update(this.options.getState())
		const rows = this.createRows()
		const news = this.getNews()
		const quietSince = this.options.timers.now() - QUIET_INTERVAL_MILLISECONDS
		for (const peer of this.table.values()) {
			const isDue = peer.exchangedAt <= quietSince || peer.news !== news
			if (!peer.isExchanging && (isDue || peer.delta.hasChanges(rows))) {
				void this.exchange(peer, rows)
			}
		}
	}

	private createRows(): readonly DigestRow[] {
		const { source } = this.options
		return createDigestRows(source.getTeams(), source.getServers())
	}

	/** What a digest says beside its rows, as far as peers should hear of it soon. */
	private getNews(): string {
		const { source } = this.options
		const { withdrawnKeys } = source.getKeyKnowledge()
		return [...withdrawnKeys, ...source.getDrained(), source.isLeaving()].join(' ')
	}

	/** Logs of the peers that answered lately. */
	getPeerLogs(): PeerLog[] {
		return this.getFreshPeers().map((peer) => new RemoteLog(peer))
	}

	/** Running and waiting requests of a pool at the peers, by team. */
	getPeerLoad(pool: PoolId): Map<TeamId, TeamLoad> {
		const loads = new Map<TeamId, TeamLoad>()
		for (const peer of this.getFreshPeers()) {
			for (const [team, load] of peer.teams) {
				const part = load.pools.find((row) => row.pool === pool)
				if (!part) continue
				const { running, queued } = loads.get(team) ?? { running: 0, queued: 0 }
				loads.set(team, { team, running: running + part.running, queued: queued + part.queued })
			}
		}
		return loads
	}

	/** Requests that the peers run at a backend server. */
	getPeerRunning(server: BackendServerId): number {
		let running = 0
		for (const peer of this.getFreshPeers()) running += peer.servers.get(server)?.running ?? 0
		return running
	}

	/** What the last digest of each member says of it. */
	getStatuses(): DaemonStatus[] {
		const { timers, getState } = this.options
		const { members } = getState()
		const now = timers.now()
		const statuses: DaemonStatus[] = []
		for (const peer of this.table.values()) {
			const { instance } = peer
			const availabilityZone = instance && members.get(instance)?.availabilityZone
			if (instance === undefined || availabilityZone === undefined) continue
			const options = { availabilityZone, now, maximumAge: MAXIMUM_LOAD_AGE_MILLISECONDS }
			statuses.push(createPeerStatus(peer, { instance, ...options }))
		}
		return statuses
	}

	/** Members that answered or called lately and do not leave. */
	getReachable(): InstanceId[] {
		return this.getFreshPeers()
			.filter((peer) => !peer.isLeaving)
			.flatMap(({ instance }) => (instance === undefined ? [] : [instance]))
	}

	/** Reports to the owner of a pool's slots. @returns undefined when no answer came */
	reportSlots(owner: InstanceId, report: SlotReport): Promise<SlotGrants | undefined> {
		const call = this.find(owner)?.client.call<SlotGrants>(
			(stub, callback) => stub.reportSlots(report, callback),
			SLOT_DEADLINE_MILLISECONDS
		)
		return call ?? Promise.resolve(undefined)
	}

	/** Brings slots to a peer. @returns whether it answered */
	async grantSlots(instance: InstanceId, grants: readonly SlotGrant[]): Promise<boolean> {
		const message = {
			owner: this.options.instance,
			pool: grants[0]?.pool ?? '',
			grants: [...grants],
		}
		const reply = await this.find(instance)?.client.call<GrantSlotsReply>(
			(stub, callback) => stub.grantSlots(message, callback),
			SLOT_DEADLINE_MILLISECONDS
		)
		return reply !== undefined
	}

	/** Incarnations heard lately that have folded the log up to `offset`. */
	getCurrentInstances(offset: number): InstanceId[] {
		return this.getFreshPeers().flatMap((peer) => {
			if (peer.isLeaving || peer.offset < offset) return []
			return peer.instance ?? []
		})
	}

	/** Whether an incarnation said, having folded `offset`, that nothing of it runs at a draining server. */
	isDrainedAt(instance: InstanceId, server: BackendServerId, offset: number): boolean {
		const peer = this.find(instance)
		return peer !== undefined && peer.drainedOffset >= offset && peer.drained.has(server)
	}

	/** Peers that answered or called lately. */
	get reachablePeers(): number {
		return this.getFreshPeers().length
	}

	override async borrow(
		lender: InstanceId,
		requests: readonly LoanRequest[]
	): Promise<readonly LoanReply[] | undefined> {
		const borrower = this.options.instance
		const loans = requests.map(({ loan, team, amount }) => ({ loan, team, amount }))
		const reply = await this.find(lender)?.client.call<BorrowReply>(
			(stub, callback) => stub.borrow({ borrower, lender, loans }, callback),
			LOAN_DEADLINE_MILLISECONDS
		)
		return reply?.loans.length === requests.length ? reply.loans : undefined
	}

	override async giveBack(lender: InstanceId, returns: readonly LoanReturn[]): Promise<boolean> {
		const borrower = this.options.instance
		const loans = returns.map(({ loan, remaining }) => ({ loan, remaining }))
		const reply = await this.find(lender)?.client.call<ReturnReply>(
			(stub, callback) => stub.return({ borrower, loans }, callback),
			LOAN_DEADLINE_MILLISECONDS
		)
		return reply !== undefined
	}

	/** Claims a request id at its issuer. @returns undefined when no answer came */
	async claim(
		issuer: InstanceId,
		requestId: string,
		executor: string
	): Promise<string | undefined> {
		const reply = await this.find(issuer)?.client.call<ClaimReply>(
			(stub, callback) => stub.claim({ requestId, executor }, callback),
			CLAIM_DEADLINE_MILLISECONDS
		)
		return reply?.outcome
	}

	/** Tells the issuer how a claimed request ended. @returns whether it answered */
	async settle(
		issuer: InstanceId,
		settlement: { readonly requestId: string; readonly executor: string; readonly verdict: string }
	): Promise<boolean> {
		const reply = await this.find(issuer)?.client.call<SettleReply>(
			(stub, callback) => stub.settle(settlement, callback),
			CLAIM_DEADLINE_MILLISECONDS
		)
		return reply !== undefined
	}

	private async exchange(peer: Peer, rows: readonly DigestRow[]): Promise<void> {
		const askedAt = this.options.timers.now()
		const news = this.getNews()
		const chosen = peer.delta.build(rows, this.getRowBudget())
		const digest = this.createDigest(chosen)
		peer.isExchanging = true
		const reply = await peer.client.call<Digest>(
			(stub, callback) => stub.exchange(digest, callback),
			EXCHANGE_DEADLINE_MILLISECONDS
		)
		peer.isExchanging = false
		if (!reply || (peer.instance !== undefined && reply.instance !== peer.instance)) return
		if (!reply.stranger) {
			peer.delta.confirm()
			peer.exchangedAt = askedAt
			peer.news = news
		}
		peer.update(reply, this.options.timers.now())
		this.learn(reply, askedAt)
	}

	/** Takes the digest of a peer that calls, and gives the own one without loads. */
	answerExchange(digest: Digest): Digest {
		const peer = this.find(digest.instance)
		peer?.update(digest, this.options.timers.now())
		if (peer) this.options.onLoads(digest)
		this.learn(digest, -Infinity)
		return { ...this.createDigest([]), stranger: peer === undefined }
	}

	private learn(digest: Digest, askedAt: Milliseconds): void {
		const { instance, withdrawnKeys, offset } = digest
		const knowledge = { instance, withdrawnKeys, offset, age: digest.logAgeMilliseconds }
		this.options.onKeyKnowledge(knowledge, askedAt)
	}

	private createDigest(rows: readonly DigestRow[]): Digest {
		const { source, getState, instance } = this.options
		const { withdrawnKeys, age, offset } = source.getKeyKnowledge()
		const { version } = getState()
		return {
			instance,
			offset,
			version,
			withdrawnKeys: [...withdrawnKeys],
			logAgeMilliseconds: age,
			leaving: source.isLeaving(),
			teams: rows.flatMap(({ team }) => team ?? []),
			servers: rows.flatMap(({ server }) => server ?? []),
			stranger: false,
			drained: [...source.getDrained()],
		}
	}

	private getRowBudget(): number {
		const exchanges = (1000 / EXCHANGE_INTERVAL_MILLISECONDS) * Math.max(1, this.table.size)
		return ROW_BYTES_PER_SECOND / exchanges
	}

	/** Finds a member, also one that joined since the last exchange. */
	private find(instance: InstanceId): Peer | undefined {
		const known = this.table.find(instance)
		if (known) return known
		if (!this.options.getState().members.has(instance)) return undefined
		this.table.update(this.options.getState())
		return this.table.find(instance)
	}

	private getFreshPeers(): Peer[] {
		const oldest = this.options.timers.now() - MAXIMUM_LOAD_AGE_MILLISECONDS
		return [...this.table.values()].filter((peer) => peer.heardAt >= oldest)
	}
}
