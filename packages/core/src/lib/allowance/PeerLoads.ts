import type { InstanceId } from '../ids/InstanceId.js'
import type { TeamId } from '../ids/TeamId.js'
import type { Milliseconds } from '../time/Milliseconds.js'
import type { TimerService } from '../time/TimerService.js'
import type { PeerLoad } from './PeerLoad.js'

/** Age above which the loads of a peer are ignored. */
const MAXIMUM_LOAD_AGE: Milliseconds = 5000

interface Peer {
	updatedAt: Milliseconds
	readonly loads: Map<TeamId, PeerLoad>
}

/**
 * Stores the loads that the other members last reported for each team.
 *
 * @public
 */
export class PeerLoads {
	private readonly peers = new Map<InstanceId, Peer>()
	private readonly leaving = new Set<InstanceId>()

	constructor(private readonly timers: TimerService) {}

	/** Updates the loads of a peer. Teams that the report does not name keep their last load. */
	update(
		instance: InstanceId,
		loads: Iterable<readonly [TeamId, Omit<PeerLoad, 'instance'>]>
	): void {
		const peer = this.peers.get(instance) ?? { updatedAt: 0, loads: new Map<TeamId, PeerLoad>() }
		peer.updatedAt = this.timers.now()
		for (const [team, load] of loads) peer.loads.set(team, { instance, ...load })
		this.peers.set(instance, peer)
	}

	/** Records whether a peer is leaving. A leaving peer lends nothing and wants its loans returned. */
	setLeaving(instance: InstanceId, isLeaving: boolean): void {
		if (isLeaving) this.leaving.add(instance)
		else this.leaving.delete(instance)
	}

	isLeaving(instance: InstanceId): boolean {
		return this.leaving.has(instance)
	}

	/** Removes a peer that is no longer a member. */
	remove(instance: InstanceId): void {
		this.leaving.delete(instance)
		this.peers.delete(instance)
	}

	/** Returns the loads of a team at the peers that reported recently. */
	get(team: TeamId): PeerLoad[] {
		const oldest = this.timers.now() - MAXIMUM_LOAD_AGE
		const loads: PeerLoad[] = []
		for (const peer of this.peers.values()) {
			const load = peer.loads.get(team)
			if (load && peer.updatedAt >= oldest) loads.push(load)
		}
		return loads
	}

	/** Returns the names of the peers. */
	getInstances(): Iterable<InstanceId> {
		return this.peers.keys()
	}
}
