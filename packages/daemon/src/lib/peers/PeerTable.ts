import type { ChannelCredentials } from '@grpc/grpc-js'
import type { FleetState, InstanceId, Member, TimerService } from '@mastichead/core'
import { Peer } from './Peer.js'
import { PeerClient } from './PeerClient.js'

interface Options {
	readonly timers: TimerService
	readonly instance: InstanceId
	/** `host:port` of this daemon, which is left out of the seeds. */
	readonly address: string
	readonly seeds: readonly string[]
	readonly credentials: ChannelCredentials
}

/**
 * The other daemons: every member, and each seed while no member is known at its address.
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

	/** Adds and removes peers to match the members in the folded state. */
	update(state: FleetState): void {
		const members = this.getMembers(state)
		for (const [address, { instance }] of members) {
			const existing = this.peers.get(address)
			if (existing?.instance === instance) continue
			this.add(address, instance, existing)
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

	/** Returns the newest member at each address. */
	private getMembers(state: FleetState): Map<string, Member> {
		const members = new Map<string, Member>()
		for (const member of state.members.values()) {
			if (member.instance === this.options.instance) continue
			if (member.peerAddress === this.options.address) continue
			const other = members.get(member.peerAddress)
			if (other && other.joinedOffset > member.joinedOffset) continue
			members.set(member.peerAddress, member)
		}
		return members
	}

	private add(address: string, instance: InstanceId | undefined, previous?: Peer): void {
		const { timers, credentials } = this.options
		const client = previous?.client ?? new PeerClient(timers, address, credentials)
		this.peers.set(address, new Peer(address, instance, client))
	}

	private remove(peer: Peer): void {
		this.peers.delete(peer.address)
		peer.client.close()
	}
}
