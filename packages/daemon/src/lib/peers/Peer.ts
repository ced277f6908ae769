import type { BackendServerId, InstanceId, Milliseconds, TeamId } from '@mastichead/core'
import type { Digest, ServerLoad, TeamLoad } from '@mastichead/protocol'
import { DigestDelta } from './DigestDelta.js'
import type { PeerClient } from './PeerClient.js'

/**
 * Last known state of one other daemon.
 *
 * @internal
 */
export class Peer {
	readonly digestDelta = new DigestDelta()
	readonly teamLoads = new Map<TeamId, TeamLoad>()
	readonly serverLoads = new Map<BackendServerId, ServerLoad>()
	/** Highest log offset that it reported as folded; -1 before the first report. */
	offset = -1
	/** Draining backend servers on which it runs no request, from its newest digest. */
	drainedServers: ReadonlySet<BackendServerId> = new Set()
	/** Offset of the digest that set `drainedServers`. */
	drainedAsOfOffset = -1
	/** Version of the fleet document in its state. */
	fleetVersion = 0
	/**
	 * Age of the log contents in its state when it was last heard from, in milliseconds; undefined if
	 * it had none.
	 */
	logAge: Milliseconds | undefined
	isLeaving = false
	isExchanging = false
	/** Instant at which the last digest that it accepted was sent; -Infinity before the first. */
	lastConfirmedAt: Milliseconds = -Infinity
	/** Fingerprint of the last digest that it accepted; see `PeerManager.getFingerprint`. */
	confirmedFingerprint = ''
	/** Instant of its last message; -Infinity before the first. */
	lastHeardAt: Milliseconds = -Infinity

	/** @param instance - its incarnation; undefined for a seed that is not a known member */
	constructor(
		readonly address: string,
		readonly instance: InstanceId | undefined,
		readonly client: PeerClient
	) {}

	/** Updates the state from a digest of the peer. */
	update(digest: Digest, now: Milliseconds): void {
		this.lastHeardAt = now
		this.offset = Math.max(this.offset, digest.offset)
		this.fleetVersion = Math.max(this.fleetVersion, digest.version)
		this.logAge = digest.logAgeMilliseconds
		this.isLeaving = digest.leaving
		this.updateDrained(digest)
		for (const load of digest.teams) this.teamLoads.set(load.team, load)
		for (const load of digest.servers) this.serverLoads.set(load.server, load)
	}

	/** Ignores a digest that arrives after a newer one. */
	private updateDrained({ offset, drained }: Digest): void {
		if (offset < this.drainedAsOfOffset) return
		this.drainedAsOfOffset = offset
		this.drainedServers = new Set(drained)
	}
}
