import type { InstanceId } from '../ids/InstanceId.js'
import type { TeamId } from '../ids/TeamId.js'
import type { Milliseconds } from '../time/Milliseconds.js'
import type { TimerService } from '../time/TimerService.js'
import type { PeerLoad } from './PeerLoad.js'

/** Age from which what a peer said is no longer acted on. */
const MAXIMUM_LOAD_AGE: Milliseconds = 5000

interface Peer {
	updatedAt: Milliseconds
	readonly loads: Map<TeamId, PeerLoad>
}

/**
 * What the other members last said of their teams.
 *
 * @public
 */
export class PeerLoads {
	private readonly peers = new Map<InstanceId, Peer>()
	private readonly leaving = new Set<InstanceId>()

	constructor(private readonly timerService: TimerService) {}

	/** Takes what a peer says; teams that it does not name are as it said before. */
	update(
		instance: InstanceId,
		loads: Iterable<readonly [TeamId, Omit<PeerLoad, 'instance'>]>
	): void {
		const peer = this.peers.get(instance) ?? { updatedAt: 0, loads: new Map<TeamId, PeerLoad>() }
		peer.updatedAt = this.timerService.now()
		for (const [team, load] of loads) peer.loads.set(team, { instance, ...load })
		this.peers.set(instance, peer)
	}

	/** Notes whether a peer is about to leave; it lends nothing more and wants its loans back. */
	setLeaving(instance: InstanceId, isLeaving: boolean): void {
		if (isLeaving) this.leaving.add(instance)
		else this.leaving.delete(instance)
	}

	isLeaving(instance: InstanceId): boolean {
		return this.leaving.has(instance)
	}

	/** Forgets a peer that is no member any more. */
	remove(instance: InstanceId): void {
		this.leaving.delete(instance)
		this.peers.delete(instance)
	}

	/** What the peers that were heard lately said of a team. */
	get(team: TeamId): PeerLoad[] {
		const oldest = this.timerService.now() - MAXIMUM_LOAD_AGE
		const loads: PeerLoad[] = []
		for (const peer of this.peers.values()) {
			const load = peer.loads.get(team)
			if (load && peer.updatedAt >= oldest) loads.push(load)
		}
		return loads
	}

	/** Names of the peers. */
	getInstances(): Iterable<InstanceId> {
		return this.peers.keys()
	}
}
