import { LocalSharePolicy, type InstanceId, type TimerService } from '@mastichead/core'
import { randomBytes } from 'node:crypto'
import type { Logger } from 'winston'
import { AllowanceManager } from './allowances/AllowanceManager.js'
import { BackendManager } from './backends/BackendManager.js'
import { CallerServer } from './callers/CallerServer.js'
import { RequestManager } from './callers/RequestManager.js'
import { KeyManager } from './keys/KeyManager.js'
import { HttpLogClient } from './log/HttpLogClient.js'
import { LogManager } from './log/LogManager.js'
import { SnapshotManager } from './log/SnapshotManager.js'
import { MembershipManager } from './membership/MembershipManager.js'
import { createMaintenance } from './maintenance/createMaintenance.js'
import type { HealthManager } from './maintenance/HealthManager.js'
import type { MaintenanceManager } from './maintenance/MaintenanceManager.js'
import { MetricsManager } from './metrics/MetricsManager.js'
import { OperatorServer } from './operators/OperatorServer.js'
import { StatusManager } from './operators/StatusManager.js'
import { LocalClaimHandler } from './peers/LocalClaimHandler.js'
import { LocalDigestSource } from './peers/LocalDigestSource.js'
import { LocalPeerHandler } from './peers/LocalPeerHandler.js'
import { PeerClaimTransport } from './peers/PeerClaimTransport.js'
import { PeerCredentials } from './peers/PeerCredentials.js'
import { PeerManager } from './peers/PeerManager.js'
import { PeerSlotTransport } from './peers/PeerSlotTransport.js'
import { InstanceListManager } from './placement/InstanceListManager.js'
import { RequestIdManager } from './requestIds/RequestIdManager.js'
import { SlotManager } from './slots/SlotManager.js'
import type { Settings } from './settings/Settings.js'

const INCARNATION_BYTES = 6
const READY_POLL_MILLISECONDS = 20
/**
 * Time that a graceful shutdown waits for units to be released and loans to be returned. A member
 * that still holds units after it does not leave; its lease expires.
 */
const LEAVE_GRACE_MILLISECONDS = 5000

interface Options {
	readonly settings: Settings
	readonly logger: Logger
	readonly timers: TimerService
}

/**
 * Composes the managers and servers of a daemon, and starts and stops them.
 *
 * @public
 */
export class Daemon {
	/** Id of this incarnation; unique to each start of a daemon. */
	readonly instance: InstanceId
	readonly log: LogManager
	readonly snapshots: SnapshotManager
	readonly keys: KeyManager
	readonly peers: PeerManager
	readonly allowances: AllowanceManager
	readonly membership: MembershipManager
	readonly instances: InstanceListManager
	readonly slots: SlotManager
	readonly backends: BackendManager
	readonly requestIds: RequestIdManager
	readonly metrics = new MetricsManager()
	readonly requests: RequestManager
	readonly callers: CallerServer
	readonly health: HealthManager
	readonly maintenance: MaintenanceManager
	readonly status: StatusManager
	readonly operators: OperatorServer
	/**
	 * Resolves when this incarnation has been removed from the members; it then starts no more
	 * requests.
	 */
	readonly dropped: Promise<void>
	private resolveDropped: () => void = () => undefined
	private isLeaving = false

	constructor(private readonly options: Options) {
		this.dropped = new Promise((resolve) => {
			this.resolveDropped = resolve
		})
		const { settings, logger, timers } = options
		const { availabilityZone } = settings
		this.instance = `${settings.instance}.${randomBytes(INCARNATION_BYTES).toString('hex')}`
		const client = new HttpLogClient(timers, settings.platform.urls, settings.instance)
		this.log = new LogManager(timers, client, logger)
		const getState = () => this.log.state
		this.snapshots = new SnapshotManager(
			timers,
			this.log,
			logger,
			this.instance,
			settings.platform.snapshotMilliseconds
		)
		this.keys = new KeyManager(
			timers,
			this.log,
			logger,
			this.instance,
			settings.keys.isolatedServeMilliseconds
		)
		this.peers = this.createPeers()
		this.allowances = new AllowanceManager({
			timers,
			log: this.log,
			instance: this.instance,
			loans: this.peers.calls,
			getQueued: () => this.requests.scheduler.getQueuedByTeam(),
			onUnitsGained: () => {
				this.requests.scheduler.tick()
			},
		})
		this.membership = new MembershipManager({
			timers,
			logger,
			log: this.log,
			holder: this.allowances.holder,
			availabilityZone,
			peerAddress: this.getPeerAddress(),
			onDropped: () => {
				this.resolveDropped()
			},
		})
		this.instances = new InstanceListManager({
			timers,
			logger,
			urls: settings.platform.urls,
			instance: settings.instance,
		})
		this.slots = new SlotManager({
			timers,
			instance: this.instance,
			transport: new PeerSlotTransport(this.peers),
			getState,
			getListings: () => this.instances.listings,
			getScheduler: () => this.requests.scheduler,
			getAvailableUnits: (team) => this.allowances.getAvailableUnits(team),
		})
		this.backends = new BackendManager({
			timers,
			getConnectionLimit: (server) => this.slots.getConnectionLimit(server),
		})
		this.requestIds = new RequestIdManager({
			timers,
			logger,
			instance: this.instance,
			transport: new PeerClaimTransport(this.peers),
		})
		this.requests = new RequestManager({
			timers,
			logger,
			metrics: this.metrics,
			allowances: this.allowances,
			slots: this.slots,
			backends: this.backends,
			policy: new LocalSharePolicy(),
			getState,
			getPeerLoad: (pool) => this.peers.getPeerLoad(pool),
			onRequestEnd: (requestId, verdict) => {
				this.requestIds.settle(requestId, verdict)
			},
		})
		this.callers = new CallerServer({
			settings,
			logger,
			timers,
			requests: this.requests,
			authenticator: this.keys,
			requestIds: this.requestIds,
			getState,
		})
		const { health, maintenance } = createMaintenance({
			settings,
			logger,
			timers,
			log: this.log,
			instance: this.instance,
			peers: this.peers,
			slots: this.slots,
			scheduler: this.requests.scheduler,
			metrics: this.metrics,
		})
		this.health = health
		this.maintenance = maintenance
		this.status = new StatusManager({
			timers,
			instance: this.instance,
			availabilityZone,
			log: this.log,
			loads: this.requests.scheduler,
			getUsableAllowance: (team) => this.allowances.holder.getUsableUnits(team),
			getPeerStatuses: () => this.peers.getPeerStatuses(),
			isLeaving: () => this.isLeaving,
		})
		this.operators = new OperatorServer({
			settings,
			logger,
			timers,
			context: {
				log: this.log,
				keys: this.keys,
				status: this.status,
				metrics: this.metrics,
			},
		})
	}

	/** Starts all managers and opens all ports; rejects if a port cannot be opened. */
	async start(): Promise<void> {
		const { logger, settings } = this.options
		this.log.onChange(() => {
			this.backends.retainServers(this.log.state.backendServers)
		})
		await this.operators.start()
		this.snapshots.start()
		this.log.start()
		this.keys.start()
		this.log.setPeerLogs(() => this.peers.getPeerLogs())
		await this.peers.start()
		this.instances.start()
		await this.waitUntilReady()
		await this.membership.start()
		if (this.isLeaving) return
		this.allowances.start()
		this.slots.start()
		this.health.start()
		this.maintenance.start()
		await this.callers.start()
		logger.info('daemon-started', {
			incarnation: this.instance,
			port: settings.listeners.callers.port,
		})
	}

	/** Shuts down gracefully within `shutdown.graceMilliseconds`. */
	async stop(): Promise<void> {
		const { logger, settings, timers } = this.options
		this.isLeaving = true
		this.maintenance.stop()
		this.health.stop()
		this.callers.startShutdown()
		const graceMilliseconds = settings.shutdown.graceMilliseconds
		const expired = new Promise<'expired'>((resolve) => {
			timers.after(graceMilliseconds, () => {
				resolve('expired')
			})
		})
		const result = await Promise.race([this.waitUntilIdle(), expired])
		if (result === 'expired') logger.warn('shutdown-cut', { requests: this.requests.size })
		this.allowances.leave()
		this.peers.exchangeWithAllPeers()
		await this.membership.leave(LEAVE_GRACE_MILLISECONDS)
		this.allowances.stop()
		this.peers.stop()
		this.slots.stop()
		this.requests.stop()
		this.keys.stop()
		this.instances.stop()
		this.snapshots.stop()
		await this.log.stop()
		this.callers.stop()
		this.backends.close()
		await this.operators.stop()
		logger.info('daemon-stopped')
	}

	private createPeers(): PeerManager {
		const { settings, logger, timers } = this.options
		const { host, port, tls } = settings.listeners.peers
		const credentials = new PeerCredentials(tls)
		return new PeerManager({
			timers,
			logger,
			instance: this.instance,
			host,
			port,
			connectionLimit: settings.limits.connections,
			address: this.getPeerAddress(),
			seeds: settings.seeds,
			serverCredentials: credentials.server,
			channelCredentials: credentials.channel,
			getState: () => this.log.state,
			source: new LocalDigestSource({
				allowances: () => this.allowances,
				scheduler: () => this.requests.scheduler,
				slots: () => this.slots,
				keys: () => this.keys,
				isLeaving: () => this.isLeaving,
				getState: () => this.log.state,
			}),
			handler: new LocalPeerHandler({
				allowances: () => this.allowances,
				log: this.log,
				slots: () => this.slots,
				instance: this.instance,
				claims: new LocalClaimHandler(() => this.requestIds),
				answerExchange: (digest) => this.peers.answerExchange(digest),
			}),
			onKeyReport: (report, requestedAt) => {
				this.keys.handlePeerReport(report, requestedAt)
			},
			onDigest: ({ instance, teams, leaving }) => {
				const loads = teams.map((load) => [load.team, { ...load, free: load.lendable }] as const)
				this.allowances.updatePeer(instance, loads, leaving)
			},
		})
	}

	private async waitUntilReady(): Promise<void> {
		while (!this.log.isReady && !this.isLeaving) {
			await new Promise<void>((resolve) => {
				this.options.timers.after(READY_POLL_MILLISECONDS, resolve)
			})
		}
	}

	private async waitUntilIdle(): Promise<void> {
		await Promise.all([this.requests.waitUntilIdle(), this.callers.waitForQuietPeriod()])
	}

	private getPeerAddress(): string {
		const { host, port, advertisedHost } = this.options.settings.listeners.peers
		return `${advertisedHost ?? host}:${port}`
	}
}
