import {
	createFleetPatch,
	createSampleFleet,
	getFleet,
	type Proposal,
	VirtualTimerService,
} from '@mastichead/core'
import { PassThrough } from 'node:stream'
import { createLogger } from '../../logs/createLogger.js'
import { KeyManager } from '../../keys/KeyManager.js'
import { LogManager } from '../LogManager.js'
import { PeerLog } from '../PeerLog.js'
import type { PeerLogPage } from '../PeerLogPage.js'
import { SnapshotManager } from '../SnapshotManager.js'
import { VirtualLog } from './VirtualLog.js'
import { VirtualLogClient } from './VirtualLogClient.js'

const STEP_MILLISECONDS = 10
const EXCHANGE_INTERVAL_MILLISECONDS = 500
const SNAPSHOT_INTERVAL_MILLISECONDS = 8000

interface VirtualDaemon {
	readonly name: string
	readonly client: VirtualLogClient
	readonly log: LogManager
	readonly keys: KeyManager
	readonly snapshots: SnapshotManager
}

class VirtualPeerLog extends PeerLog {
	constructor(
		private readonly peer: VirtualDaemon,
		private readonly isReachable: () => boolean
	) {
		super()
	}

	override get name(): string {
		return this.peer.name
	}

	override get reportedOffset(): number {
		return this.isReachable() ? this.peer.log.sharedOffset : -1
	}

	override readLog(from: number): Promise<PeerLogPage | undefined> {
		return Promise.resolve(this.isReachable() ? this.peer.log.readLog(from) : undefined)
	}
}

/**
 * Simulates the log, keys and snapshots of several daemons on one virtual log in virtual time.
 *
 * @internal
 */
export class VirtualFleet {
	readonly timers = new VirtualTimerService()
	readonly platformLog = new VirtualLog()
	readonly daemons: VirtualDaemon[] = []
	/** Names of daemons that cannot reach any peer. */
	readonly isolatedFromPeers = new Set<string>()
	/** Network partition by daemon name; daemons without an entry are in the same partition. */
	readonly partitions = new Map<string, string>()
	private readonly logStream = new PassThrough()
	private readonly logger = createLogger({ level: 'error', stream: this.logStream })

	/** @param count - number of daemons to start */
	constructor(count: number) {
		for (let index = 0; index < count; index++) this.addDaemon()
		this.timers.every(EXCHANGE_INTERVAL_MILLISECONDS, () => {
			this.exchangeKeyReports()
		})
	}

	/** Starts one more daemon, optionally with a fault between it and the platform. */
	addDaemon(fault: VirtualLogClient['fault'] = 'none', isolatedServeLimit?: number): VirtualDaemon {
		const name = `entry-${this.daemons.length}`
		const client = new VirtualLogClient(this.timers, this.platformLog)
		client.fault = fault
		const log = new LogManager(this.timers, client, this.logger)
		const keys = new KeyManager(this.timers, log, this.logger, name, isolatedServeLimit)
		const snapshots = new SnapshotManager(
			this.timers,
			log,
			this.logger,
			name,
			SNAPSHOT_INTERVAL_MILLISECONDS
		)
		const daemon = { name, client, log, keys, snapshots }
		this.daemons.push(daemon)
		log.setPeerLogs(() =>
			this.daemons
				.filter((peer) => peer !== daemon)
				.map((peer) => new VirtualPeerLog(peer, () => this.canReach(daemon, peer)))
		)
		snapshots.start()
		log.start()
		keys.start()
		return daemon
	}

	/** Returns the error lines logged since the last call. */
	readErrors(): string {
		return String(this.logStream.read() ?? '')
	}

	/** Advances the clock by `duration` milliseconds and lets promises settle after each step. */
	async advance(duration: number): Promise<void> {
		for (let passed = 0; passed < duration; passed += STEP_MILLISECONDS) {
			this.timers.advance(STEP_MILLISECONDS)
			await new Promise((resolve) => setImmediate(resolve))
		}
	}

	/** Creates an `apply` proposal of the sample fleet with `teams` teams, based on a daemon's state. */
	createApply(daemon: VirtualDaemon, id: string, teams: number): Proposal {
		const { state } = daemon.log
		const patch = createFleetPatch(getFleet(state), createSampleFleet({ teams }))
		return { kind: 'apply', id, base: state.version, patch, operator: 'o' }
	}

	private canReach(from: VirtualDaemon, to: VirtualDaemon): boolean {
		if (this.isolatedFromPeers.has(from.name) || this.isolatedFromPeers.has(to.name)) return false
		return this.partitions.get(from.name) === this.partitions.get(to.name)
	}

	private exchangeKeyReports(): void {
		for (const daemon of this.daemons) {
			for (const peer of this.daemons) {
				if (peer === daemon || !this.canReach(daemon, peer)) continue
				daemon.keys.handlePeerReport(peer.keys.getReport(), this.timers.now())
			}
		}
	}
}
