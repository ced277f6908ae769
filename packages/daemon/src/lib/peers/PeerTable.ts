import type { ChannelCredentials } from '@grpc/grpc-js'
import type { FleetState, InstanceId, Member, TimerService } from '@mastichead/core'
import { Peer } from './Peer.js'
import { PeerClient } from './PeerClient.js'

interface Options {
	readonly timers: TimerService
	readonly instance: InstanceId
	/** Own `host:port`, to be left out of the seeds. */
	readonly address: string
	readonly seeds: readonly string[]
	readonly credentials: ChannelCredentials
}

/**
 * The other entry instances: the members, and the seeds while no member is known at their address.
 *
 * @internal
 */
export class PeerTable {
	private readonly peers = new Map<string, Peer>()

	constructor(private readonly options: Options) {}

	get size(): number {
		return this.peers.size
	}

	values(): Iterable<Peer> {
		return this.peers.values()
	}

	find(instance: InstanceId): Peer | undefined {
		for (const peer of this.peers.values()) if (peer.instance === instance) return peer
		return undefined
	}

	/** Follows the members in the folded state. */
	update(state: FleetState): void {
		const members = this.getMembers(state)
		for (const [address, { instance }] of members) {
			const known = this.peers.get(address)
			if (known?.instance === instance) continue
			this.add(address, instance, known)
		}
		for (const seed of this.options.seeds) {
			if (seed !== this.options.address && !this.peers.has(seed)) this.add(seed, undefined)
		}
		for (const peer of this.peers.values()) {
			const isSeed = this.options.seeds.includes(peer.address)
			if (!members.has(peer.address) && !(isSeed && peer.instance === undefined)) this.remove(peer)
		}
	}

	close(): void {
		for (const peer of this.peers.values()) peer.client.close()
		this.peers.clear()
	}

	/** Newest member at each address. */
	private getMembers(state: FleetState): Map<string, Member> {
		const members = new Map<string, Member>()
		for (const member of state.members.values()) {
			if (member.instance === this.options.instance) continue
			if (member.peerAddress === this.options.address) continue
			const known = members.get(member.peerAddress)
			if (known && known.joinedOffset > member.joinedOffset) continue
			members.set(member.peerAddress, member)
		}
		return members
	}

	private add(address: string, instance: InstanceId | undefined, known?: Peer): void {
		const { timers, credentials } = this.options
		const client = known?.client ?? new PeerClient(timers, address, credentials)
		this.peers.set(address, new Peer(address, instance, client))
	}

	private remove(peer: Peer): void {
		this.peers.delete(peer.address)
		peer.client.close()
	}
}
