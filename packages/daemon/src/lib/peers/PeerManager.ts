import type { ChannelCredentials, ServerCredentials } from '@grpc/grpc-js'
import type {
	BackendServerId,
	DaemonStatus,
	FleetState,
	InstanceId,
	Milliseconds,
	PoolId,
	Subscription,
	TeamId,
	TeamLoad,
	TimerService,
} from '@mastichead/core'
import type { Digest } from '@mastichead/protocol'
import type { Logger } from 'winston'
import type { KeyReport } from '../keys/KeyReport.js'
import type { PeerLog } from '../log/PeerLog.js'
import { createDigestRows } from './createDigestRows.js'
import { createPeerStatus } from './createPeerStatus.js'
import type { DigestRow } from './DigestRow.js'
import type { DigestSource } from './DigestSource.js'
import { PeerCalls } from './PeerCalls.js'
import type { Peer } from './Peer.js'
import type { PeerHandler } from './PeerHandler.js'
import { PeerServer } from './PeerServer.js'
import { PeerTable } from './PeerTable.js'
import { RemotePeerLog } from './RemotePeerLog.js'

const EXCHANGE_INTERVAL_MILLISECONDS = 500
/** Time between two digests to a peer that has no changes to receive. */
const IDLE_EXCHANGE_INTERVAL_MILLISECONDS = 2000
const EXCHANGE_TIMEOUT_MILLISECONDS = 1000

/** Limit on the rows of all digests together, in each direction. */
const MAXIMUM_ROW_BYTES_PER_SECOND = 10_000

/**
 * Time since the last message of a peer after which it counts as unreachable and its load is
 * ignored.
 */
const PEER_TIMEOUT_MILLISECONDS = 5000

interface Options {
	readonly timers: TimerService
	readonly logger: Logger
	readonly instance: InstanceId
	readonly host: string
	readonly port: number
	/** Open connections to the port at most. */
	readonly connectionLimit: number
	/** `host:port` that this daemon joins with. */
	readonly address: string
	/** Addresses of peers to contact before any member is known. */
	readonly seeds: readonly string[]
	readonly serverCredentials: ServerCredentials
	readonly channelCredentials: ChannelCredentials
	readonly getState: () => FleetState
	readonly source: DigestSource
	/** Answers the calls of peers; its `exchange` calls {@link PeerManager.answerExchange}. */
	readonly handler: PeerHandler
	/**
	 * Called with the key report in each digest of a peer.
	 *
	 * @param requestedAt - instant before the report was requested; -Infinity if the peer sent it unasked
	 */
	readonly onKeyReport: (report: KeyReport, requestedAt: Milliseconds) => void
	/** Called with each digest that a member sends; loads of teams missing from it are unchanged. */
	readonly onDigest: (digest: Digest) => void
}

/**
 * Exchanges digests with the other daemons, and carries loans, claims, slots and the log between
 * them.
 *
 * @public
 */
export class PeerManager {
	/** Calls to individual peers. */
	readonly calls: PeerCalls
	private readonly table: PeerTable
	private readonly server: PeerServer
	private timer: Subscription | undefined

	constructor(private readonly options: Options) {
		this.calls = new PeerCalls(options.instance, (instance) => this.find(instance))
		const { channelCredentials, serverCredentials } = options
		this.table = new PeerTable({ ...options, credentials: channelCredentials })
		this.server = new PeerServer({
			...options,
			credentials: serverCredentials,
		})
	}

	/**
	 * Opens the port and starts to exchange digests.
	 *
	 * @returns the port number
	 */
	async start(): Promise<number> {
		const port = await this.server.listen()
		this.timer = this.options.timers.every(EXCHANGE_INTERVAL_MILLISECONDS, () => {
			this.exchangeWithDuePeers()
		})
		this.exchangeWithAllPeers()
		return port
	}

	stop(): void {
		this.timer?.cancel()
		this.server.close()
		this.table.close()
	}

	/** Starts an exchange of digests with every peer, for example at the start of a shutdown. */
	exchangeWithAllPeers(): void {
		this.table.update(this.options.getState())
		const rows = this.createRows()
		for (const peer of this.table.values()) {
			if (!peer.isExchanging) void this.exchange(peer, rows)
		}
	}

	/**
	 * Exchanges digests with the peers that lack a change, and with the others at the idle interval.
	 */
	private exchangeWithDuePeers(): void {
		this.table.update(this.options.getState())
		const rows = this.createRows()
		const fingerprint = this.getFingerprint()
		const idleSince = this.options.timers.now() - IDLE_EXCHANGE_INTERVAL_MILLISECONDS
		for (const peer of this.table.values()) {
			const isDue = peer.lastConfirmedAt <= idleSince || peer.confirmedFingerprint !== fingerprint
			if (!peer.isExchanging && (isDue || peer.digestDelta.hasChanges(rows))) {
				void this.exchange(peer, rows)
			}
		}
	}

	private createRows(): readonly DigestRow[] {
		const { source } = this.options
		return createDigestRows(source.getTeamLoads(), source.getServerLoads())
	}

	/**
	 * Returns the digest fields that peers should receive soon after a change, apart from the rows,
	 * as text to compare.
	 */
	private getFingerprint(): string {
		const { source } = this.options
		const { withdrawnKeys } = source.getKeyReport()
		return [...withdrawnKeys, ...source.getDrainedServers(), source.isLeaving()].join(' ')
	}

	/** Returns the logs of the reachable peers. */
	getPeerLogs(): PeerLog[] {
		return this.getReachablePeers().map((peer) => new RemotePeerLog(peer))
	}

	/** Returns the running and queued requests of a pool at the reachable peers, by team. */
	getPeerLoad(pool: PoolId): Map<TeamId, TeamLoad> {
		const loads = new Map<TeamId, TeamLoad>()
		for (const peer of this.getReachablePeers()) {
			for (const [team, load] of peer.teamLoads) {
				const poolLoad = load.pools.find((row) => row.pool === pool)
				if (!poolLoad) continue
				const { running, queued } = loads.get(team) ?? { running: 0, queued: 0 }
				loads.set(team, {
					team,
					running: running + poolLoad.running,
					queued: queued + poolLoad.queued,
				})
			}
		}
		return loads
	}

	/** Returns how many requests the reachable peers run on a backend server. */
	getPeerRunningCount(server: BackendServerId): number {
		let running = 0
		for (const peer of this.getReachablePeers())
			running += peer.serverLoads.get(server)?.running ?? 0
		return running
	}

	/** Returns the status of each other member from its last digest. */
	getPeerStatuses(): DaemonStatus[] {
		const { timers, getState } = this.options
		const { members } = getState()
		const now = timers.now()
		const statuses: DaemonStatus[] = []
		for (const peer of this.table.values()) {
			const { instance } = peer
			const availabilityZone = instance && members.get(instance)?.availabilityZone
			if (instance === undefined || availabilityZone === undefined) continue
			const options = { availabilityZone, now, maximumAge: PEER_TIMEOUT_MILLISECONDS }
			statuses.push(createPeerStatus(peer, { instance, ...options }))
		}
		return statuses
	}

	/** Returns the reachable members that are not leaving. */
	getReachableInstances(): InstanceId[] {
		return this.getReachablePeers()
			.filter((peer) => !peer.isLeaving)
			.flatMap(({ instance }) => (instance === undefined ? [] : [instance]))
	}

	/**
	 * Returns the reachable incarnations that are not leaving and have folded the log up to `offset`.
	 */
	getCurrentInstances(offset: number): InstanceId[] {
		return this.getReachablePeers().flatMap((peer) => {
			if (peer.isLeaving || peer.offset < offset) return []
			return peer.instance ?? []
		})
	}

	/**
	 * Whether an incarnation, having folded `offset`, reported that it runs no request on a draining
	 * backend server.
	 */
	isDrainedAt(instance: InstanceId, server: BackendServerId, offset: number): boolean {
		const peer = this.find(instance)
		return peer !== undefined && peer.drainedAsOfOffset >= offset && peer.drainedServers.has(server)
	}

	/** Number of peers heard from recently. */
	get reachablePeerCount(): number {
		return this.getReachablePeers().length
	}

	private async exchange(peer: Peer, rows: readonly DigestRow[]): Promise<void> {
		const sentAt = this.options.timers.now()
		const fingerprint = this.getFingerprint()
		const selectedRows = peer.digestDelta.selectRows(rows, this.getMaximumRowBytes())
		const digest = this.createDigest(selectedRows)
		peer.isExchanging = true
		const reply = await peer.client.call<Digest>(
			(stub, callback) => stub.exchange(digest, callback),
			EXCHANGE_TIMEOUT_MILLISECONDS
		)
		peer.isExchanging = false
		if (!reply || (peer.instance !== undefined && reply.instance !== peer.instance)) return
		if (!reply.stranger) {
			peer.digestDelta.confirm()
			peer.lastConfirmedAt = sentAt
			peer.confirmedFingerprint = fingerprint
		}
		peer.update(reply, this.options.timers.now())
		this.handleKeyReport(reply, sentAt)
	}

	/** Processes the digest of a calling peer and returns this daemon's digest without loads. */
	answerExchange(digest: Digest): Digest {
		const peer = this.find(digest.instance)
		peer?.update(digest, this.options.timers.now())
		if (peer) this.options.onDigest(digest)
		this.handleKeyReport(digest, -Infinity)
		return { ...this.createDigest([]), stranger: peer === undefined }
	}

	private handleKeyReport(digest: Digest, requestedAt: Milliseconds): void {
		const { instance, withdrawnKeys, offset } = digest
		const report = { instance, withdrawnKeys, offset, age: digest.logAgeMilliseconds }
		this.options.onKeyReport(report, requestedAt)
	}

	private createDigest(rows: readonly DigestRow[]): Digest {
		const { source, getState, instance } = this.options
		const { withdrawnKeys, age, offset } = source.getKeyReport()
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
			drained: [...source.getDrainedServers()],
		}
	}

	/** Returns the share of one digest in the row limit, which depends on the number of peers. */
	private getMaximumRowBytes(): number {
		const exchanges = (1000 / EXCHANGE_INTERVAL_MILLISECONDS) * Math.max(1, this.table.size)
		return MAXIMUM_ROW_BYTES_PER_SECOND / exchanges
	}

	/** Finds a member, including one that joined since the last exchange. */
	private find(instance: InstanceId): Peer | undefined {
		const peer = this.table.find(instance)
		if (peer) return peer
		if (!this.options.getState().members.has(instance)) return undefined
		this.table.update(this.options.getState())
		return this.table.find(instance)
	}

	/** Returns the peers heard from recently. */
	private getReachablePeers(): Peer[] {
		const oldest = this.options.timers.now() - PEER_TIMEOUT_MILLISECONDS
		return [...this.table.values()].filter((peer) => peer.lastHeardAt >= oldest)
	}
}
