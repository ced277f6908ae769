import { type BackendServerId, SlotSource, type TimerService } from '@mastichead/core'

/** Time for which a backend server counts as full after it refused a request. */
const FULL_MILLISECONDS = 100

/**
 * Reserves slots without a slot owner: draws two backend servers with free slots and picks the
 * freer one, counting requests of this daemon and the last digests of its peers.
 *
 * @internal
 */
export class DigestSlotSource extends SlotSource {
	readonly running = new Map<BackendServerId, number>()
	private readonly fullUntil = new Map<BackendServerId, number>()

	constructor(
		private readonly timers: TimerService,
		private readonly size: { readonly servers: number; readonly slots: number },
		private readonly getPeerRunning: (server: BackendServerId) => number,
		private readonly random: () => number
	) {
		super()
	}

	override getCapacity(): number {
		return this.size.servers * this.size.slots
	}

	override reserve(): BackendServerId | undefined {
		const available = Array.from({ length: this.size.servers }, (_, index) => String(index)).filter(
			(server) => this.getFreeSlots(server) > 0
		)
		const [a, b] = [this.pickRandom(available), this.pickRandom(available)]
		if (a === undefined || b === undefined) return undefined
		const server = this.getFreeSlots(a) >= this.getFreeSlots(b) ? a : b
		this.running.set(server, (this.running.get(server) ?? 0) + 1)
		return server
	}

	override release(server: BackendServerId): void {
		this.running.set(server, (this.running.get(server) ?? 0) - 1)
	}

	markFull(server: BackendServerId): void {
		this.fullUntil.set(server, this.timers.now() + FULL_MILLISECONDS)
	}

	private getFreeSlots(server: BackendServerId): number {
		if ((this.fullUntil.get(server) ?? 0) > this.timers.now()) return 0
		return this.size.slots - (this.running.get(server) ?? 0) - this.getPeerRunning(server)
	}

	private pickRandom(servers: readonly BackendServerId[]): BackendServerId | undefined {
		return servers[Math.floor(this.random() * servers.length)]
	}
}
