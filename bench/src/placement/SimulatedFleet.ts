import {
	RetryBudget,
	SlotHolder,
	SlotOwner,
	type AvailabilityZoneId,
	type SlotGrant,
	type VirtualTimerService,
} from '@mastichead/core'
import { OwnerSlotSource } from './OwnerSlotSource.js'
import type { PlacementMethod } from './PlacementMethod.js'
import { PolicySlotSource } from './PolicySlotSource.js'
import { SimulatedEntry } from './SimulatedEntry.js'
import { SimulatedServer } from './SimulatedServer.js'

/** One-way latency within a zone and between zones, in milliseconds. */
const SAME_ZONE_LATENCY = 0.5
const CROSS_ZONE_LATENCY = 1.5

const ENTRY_COUNT = 8
const SERVER_COUNT = 9

/** Time between digests, and between reports that carry only demand, in milliseconds. */
const DIGEST_INTERVAL = 500
const DEMAND_INTERVAL = 1

/** Size of a message on the wire: its frame, and each row in it. */
const FRAME_BYTES = 120
const ROW_BYTES = 24

/** Backend servers that a digest describes. */
const ROWS_PER_DIGEST = 35

/**
 * Simulates the entry instances and backend servers of three zones, and the messages between entry
 * instances.
 *
 * @internal
 */
export class SimulatedFleet {
	readonly servers: readonly SimulatedServer[]
	readonly entries: SimulatedEntry[] = []
	/** Bytes that each entry instance sent to its peers. */
	readonly sentBytes = new Array<number>(ENTRY_COUNT).fill(0)
	private readonly owner: SlotOwner

	constructor(
		private readonly timers: VirtualTimerService,
		private readonly random: () => number,
		method: PlacementMethod
	) {
		this.servers = Array.from(
			{ length: SERVER_COUNT },
			(_, index) => new SimulatedServer(`server-${index}`, getZone(index), timers)
		)
		this.owner = new SlotOwner({
			timers,
			instance: 'entry-0',
			getServers: () => this.servers,
			getWeight: () => 1,
			getZone: (instance) => getZone(getIndex(instance)),
		})
		if (method.type === 'owner') this.createOwnerEntries()
		else this.createPolicyEntries(method.create)
	}

	private createPolicyEntries(
		createPolicy: Extract<PlacementMethod, { type: 'policy' }>['create']
	): void {
		const { timers, servers } = this
		const slotSources = Array.from({ length: ENTRY_COUNT }, (_, index) => {
			const availabilityZone = getZone(index)
			return new PolicySlotSource({
				index,
				name: `entry-${index}`,
				availabilityZone,
				zoneInstances: getNames().filter((name) => getZone(getIndex(name)) === availabilityZone),
				timers,
				policy: createPolicy(this.random),
				servers,
			})
		})
		for (const [index, slots] of slotSources.entries()) {
			this.entries.push(this.createEntry(index, slots, () => undefined))
			timers.after((DIGEST_INTERVAL * index) / ENTRY_COUNT, () => {
				timers.every(DIGEST_INTERVAL, () => {
					this.sendDigests(index, slotSources)
				})
			})
		}
	}

	private sendDigests(from: number, slotSources: readonly PolicySlotSource[]): void {
		const digest = slotSources[from]?.createDigest()
		if (!digest) return
		for (const [to, slots] of slotSources.entries()) {
			if (to === from) continue
			this.countBytes(from, to, ROWS_PER_DIGEST)
			this.timers.after(getLatency(from, to), () => {
				slots.applyDigest(digest)
				this.entries[to]?.dispatch()
			})
		}
	}

	private createOwnerEntries(): void {
		for (let index = 0; index < ENTRY_COUNT; index++) {
			const holder = new SlotHolder(`entry-${index}`, this.timers)
			holder.setOwner('pool', 'entry-0')
			let isReportScheduled = false
			let reported = 0
			let reportedAt = 0
			const report = () => {
				isReportScheduled = false
				holder.returnUnusedGrants()
				const entry = this.entries[index]
				if (!entry) return
				const count = Math.max(0, entry.queued - holder.countUnused('pool', 'team'))
				if (!holder.hasEnds('pool') && count === reported) return
				reported = count
				reportedAt = this.timers.now()
				const { oldestAge } = entry
				const demand = { team: 'team', urgency: 'ordinary', count, oldestAge } as const
				this.sendReport(index, holder, count > 0 ? [demand] : [])
			}
			const scheduleReport = () => {
				if (isReportScheduled) return
				isReportScheduled = true
				const isUrgent = holder.hasEnds('pool') || reported === 0
				const delay = isUrgent ? 0 : reportedAt + DEMAND_INTERVAL - this.timers.now()
				this.timers.after(Math.max(0, delay), report)
			}
			this.entries.push(this.createEntry(index, new OwnerSlotSource(holder), scheduleReport))
		}
	}

	private sendReport(
		index: number,
		holder: SlotHolder,
		demands: Parameters<SlotHolder['createReport']>[1]
	): void {
		const message = holder.createReport('pool', demands)
		this.countBytes(index, 0, 1 + message.ends.length)
		this.timers.after(getLatency(index, 0), () => {
			this.owner.applyReport(message)
			this.deliverGrants(this.owner.grantFreeSlots('pool'))
		})
	}

	private deliverGrants(grants: readonly SlotGrant[]): void {
		for (const to of new Set(grants.map((grant) => grant.instance))) {
			const instanceGrants = grants.filter((grant) => grant.instance === to)
			this.countBytes(0, getIndex(to), instanceGrants.length)
			this.timers.after(getLatency(0, getIndex(to)), () => {
				const entry = this.entries[getIndex(to)]
				entry?.addGrants(instanceGrants)
			})
		}
	}

	/** Counts the bytes of a message. A message to the sender itself is free. */
	private countBytes(from: number, to: number, rows: number): void {
		if (from !== to)
			this.sentBytes[from] = (this.sentBytes[from] ?? 0) + FRAME_BYTES + ROW_BYTES * rows
	}

	private createEntry(
		index: number,
		slots: PolicySlotSource | OwnerSlotSource,
		onChange: () => void
	): SimulatedEntry {
		const availabilityZone = getZone(index)
		return new SimulatedEntry({
			availabilityZone,
			timers: this.timers,
			slots,
			budget: new RetryBudget(),
			servers: this.servers,
			getLatency: (zone) => (zone === availabilityZone ? SAME_ZONE_LATENCY : CROSS_ZONE_LATENCY),
			onChange,
		})
	}
}

function getNames(): string[] {
	return Array.from({ length: ENTRY_COUNT }, (_, index) => `entry-${index}`)
}

function getIndex(instance: string): number {
	return Number(instance.slice('entry-'.length))
}

function getZone(index: number): AvailabilityZoneId {
	return `zone-${index % 3}`
}

function getLatency(from: number, to: number): number {
	if (from === to) return 0
	return getZone(from) === getZone(to) ? SAME_ZONE_LATENCY : CROSS_ZONE_LATENCY
}
