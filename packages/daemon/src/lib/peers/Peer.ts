import type { BackendServerId, InstanceId, Milliseconds, TeamId } from '@mastichead/core'
import type { Digest, ServerLoad, TeamLoad } from '@mastichead/protocol'
import { DigestDelta } from './DigestDelta.js'
import type { PeerClient } from './PeerClient.js'

/**
 * What is known of one other entry instance.
 *
 * @internal
 */
export class Peer {
	readonly delta = new DigestDelta()
	readonly teamLoads = new Map<TeamId, TeamLoad>()
	readonly serverLoads = new Map<BackendServerId, ServerLoad>()
	offset = -1
	/** Draining backend servers at which it runs nothing, by its last digest. */
	drainedServers: ReadonlySet<BackendServerId> = new Set()
	/** Offset of its last digest. */
	drainedAsOfOffset = -1
	/** Version of the fleet document in force there. */
	version = 0
	/** Age that its knowledge of the log had when it was last heard; undefined when it had none. */
	logAge: Milliseconds | undefined
	isLeaving = false
	isExchanging = false
	/** Instant at which the last digest that it took was sent; -Infinity before the first. */
	lastConfirmedAt: Milliseconds = -Infinity
	/** News that the last digest told it. */
	confirmedFingerprint = ''
	/** Instant at which it was last heard; -Infinity before the first. */
	lastHeardAt: Milliseconds = -Infinity

	/**
	 * @param instance - incarnation; undefined for a seed that has not answered
	 */
	constructor(
		readonly address: string,
		readonly instance: InstanceId | undefined,
		readonly client: PeerClient
	) {}

	/** Takes what the peer says of itself. */
	update(digest: Digest, now: Milliseconds): void {
		this.lastHeardAt = now
		this.offset = Math.max(this.offset, digest.offset)
		this.version = Math.max(this.version, digest.version)
		this.logAge = digest.logAgeMilliseconds
		this.isLeaving = digest.leaving
		this.updateDrained(digest)
		for (const load of digest.teams) this.teamLoads.set(load.team, load)
		for (const load of digest.servers) this.serverLoads.set(load.server, load)
	}

	/** A digest that comes late must not take the place of a newer one. */
	private updateDrained({ offset, drained }: Digest): void {
		if (offset < this.drainedAsOfOffset) return
		this.drainedAsOfOffset = offset
		this.drainedServers = new Set(drained)
	}
}
