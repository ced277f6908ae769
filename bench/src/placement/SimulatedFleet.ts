import {
	RetryBudget,
	SlotHolder,
	SlotOwner,
	type AvailabilityZoneId,
	type SlotGrant,
	type VirtualTimerService,
} from '@mastichead/core'
import { OwnedSlots } from './OwnedSlots.js'
import type { PlacementWay } from './PlacementWay.js'
import { PolicySlots } from './PolicySlots.js'
import { SimulatedEntry } from './SimulatedEntry.js'
import { SimulatedServer } from './SimulatedServer.js'

/** One-way latency within a zone and between zones, in milliseconds. */
const NEAR = 0.5
const FAR = 1.5

const ENTRIES = 8
const SERVERS = 9

/** Time between digests, and between reports of demand alone, in milliseconds. */
const DIGEST_INTERVAL = 500
const DEMAND_INTERVAL = 1

/** Bytes on the wire: the frame of a message, and each row in it. */
const FRAME_BYTES = 120
const ROW_BYTES = 24

/** Backend servers whose rows a digest carries. */
const DIGEST_ROWS = 35

/**
 * Entry instances and backend servers of one placement run, in three zones, and what they tell
 * each other.
 *
 * @internal
 */
export class SimulatedFleet {
	readonly servers: readonly SimulatedServer[]
	readonly entries: SimulatedEntry[] = []
	/** Bytes that each entry instance sent to others. */
	readonly bytes = new Array<number>(ENTRIES).fill(0)
	private readonly owner: SlotOwner

	constructor(
		private readonly timers: VirtualTimerService,
		private readonly random: () => number,
		way: PlacementWay
	) {
		this.servers = Array.from(
			{ length: SERVERS },
			(_, index) => new SimulatedServer(`server-${index}`, getZone(index), timers)
		)
		this.owner = new SlotOwner({
			timers,
			instance: 'entry-0',
			getServers: () => this.servers,
			getWeight: () => 1,
			getZone: (instance) => getZone(getIndex(instance)),
		})
		if (way.type === 'owner') this.createOwned()
		else this.createByPolicy(way.create)
	}

	private createByPolicy(create: Extract<PlacementWay, { type: 'policy' }>['create']): void {
		const { timers, servers } = this
		const all = Array.from({ length: ENTRIES }, (_, index) => {
			const availabilityZone = getZone(index)
			return new PolicySlots({
				index,
				name: `entry-${index}`,
				availabilityZone,
				zoneInstances: getNames().filter((name) => getZone(getIndex(name)) === availabilityZone),
				timers,
				policy: create(this.random),
				servers,
			})
		})
		for (const [index, slots] of all.entries()) {
			this.entries.push(this.createEntry(index, slots, () => undefined))
			timers.after((DIGEST_INTERVAL * index) / ENTRIES, () => {
				timers.every(DIGEST_INTERVAL, () => {
					this.sendDigests(index, all)
				})
			})
		}
	}

	private sendDigests(from: number, all: readonly PolicySlots[]): void {
		const digest = all[from]?.createDigest()
		if (!digest) return
		for (const [to, slots] of all.entries()) {
			if (to === from) continue
			this.count(from, to, DIGEST_ROWS)
			this.timers.after(getLatency(from, to), () => {
				slots.takeDigest(digest)
				this.entries[to]?.dispatch()
			})
		}
	}

	private createOwned(): void {
		for (let index = 0; index < ENTRIES; index++) {
			const holder = new SlotHolder(`entry-${index}`, this.timers)
			holder.setOwner('pool', 'entry-0')
			let isDue = false
			let reported = 0
			let reportedAt = 0
			const report = () => {
				isDue = false
				holder.returnUnusedGrants()
				const entry = this.entries[index]
				if (!entry) return
				const count = Math.max(0, entry.queued - holder.countUnused('pool', 'team'))
				if (!holder.hasEnds('pool') && count === reported) return
				reported = count
				reportedAt = this.timers.now()
				const { oldestAge } = entry
				const demand = { team: 'team', urgency: 'ordinary', count, oldestAge } as const
				this.report(index, holder, count > 0 ? [demand] : [])
			}
			const plan = () => {
				if (isDue) return
				isDue = true
				const isUrgent = holder.hasEnds('pool') || reported === 0
				const rest = isUrgent ? 0 : reportedAt + DEMAND_INTERVAL - this.timers.now()
				this.timers.after(Math.max(0, rest), report)
			}
			this.entries.push(this.createEntry(index, new OwnedSlots(holder), plan))
		}
	}

	private report(
		index: number,
		holder: SlotHolder,
		demands: Parameters<SlotHolder['createReport']>[1]
	): void {
		const message = holder.createReport('pool', demands)
		this.count(index, 0, 1 + message.ends.length)
		this.timers.after(getLatency(index, 0), () => {
			this.owner.applyReport(message)
			this.deliver(this.owner.grantFreeSlots('pool'))
		})
	}

	private deliver(grants: readonly SlotGrant[]): void {
		for (const to of new Set(grants.map((grant) => grant.instance))) {
			const own = grants.filter((grant) => grant.instance === to)
			this.count(0, getIndex(to), own.length)
			this.timers.after(getLatency(0, getIndex(to)), () => {
				const entry = this.entries[getIndex(to)]
				entry?.takeGrants(own)
			})
		}
	}

	/** What the owner tells itself costs nothing. */
	private count(from: number, to: number, rows: number): void {
		if (from !== to) this.bytes[from] = (this.bytes[from] ?? 0) + FRAME_BYTES + ROW_BYTES * rows
	}

	private createEntry(
		index: number,
		slots: PolicySlots | OwnedSlots,
		onChange: () => void
	): SimulatedEntry {
		const availabilityZone = getZone(index)
		return new SimulatedEntry({
			availabilityZone,
			timers: this.timers,
			slots,
			budget: new RetryBudget(),
			servers: this.servers,
			getLatency: (zone) => (zone === availabilityZone ? NEAR : FAR),
			onChange,
		})
	}
}

function getNames(): string[] {
	return Array.from({ length: ENTRIES }, (_, index) => `entry-${index}`)
}

function getIndex(instance: string): number {
	return Number(instance.slice('entry-'.length))
}

function getZone(index: number): AvailabilityZoneId {
	return `zone-${index % 3}`
}

function getLatency(from: number, to: number): number {
	if (from === to) return 0
	return getZone(from) === getZone(to) ? NEAR : FAR
}
