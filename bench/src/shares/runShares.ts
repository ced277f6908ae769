import {
	LocalSharePolicy,
	type SlotGrant,
	SlotHolder,
	SlotOwner,
	type TeamLoad,
	VirtualTimerService,
} from '@mastichead/core'
import { FleetSharePolicy } from './FleetSharePolicy.js'
import { createRandom } from '../createRandom.js'
import { DigestSlotSource } from './DigestSlotSource.js'
import { GrantedSlotSource } from './GrantedSlotSource.js'
import { SimulatedDaemon } from './SimulatedDaemon.js'
import { ShareMeter } from './ShareMeter.js'
import type { ShareScenario } from './ShareScenario.js'
import { SimulatedBackendPool } from './SimulatedBackendPool.js'

const POOL = 'pool'
/** Intervals and the one-way network latency, in milliseconds. */
const DIGEST_INTERVAL = 500
const NETWORK_LATENCY = 1.5
const REPORT_INTERVAL = 1
const DEMAND_REPORT_INTERVAL = 4
const TICK_INTERVAL = 20

/**
 * How slots are assigned and teams are ordered.
 *
 * - `local`: each daemon is fair by itself; slots by digests
 * - `fleet`: max-min fairness over the fleet by digests; slots by digests
 * - `owner`: the pool's slot owner grants slots and orders teams
 * - `central`: like `owner` but without latency between entry instances, as one central queue
 *
 * @internal
 */
type SchedulingMethod = 'local' | 'fleet' | 'owner' | 'central'

/**
 * Simulates one scheduling method in one scenario, in virtual time.
 *
 * @returns the meter, the backend pool, the waits of all started requests in milliseconds, and the
 *   number of reports and grants sent
 * @internal
 */
export function runShares(
	scenario: ShareScenario,
	method: SchedulingMethod,
	seed: number
): { meter: ShareMeter; backendPool: SimulatedBackendPool; waits: number[]; messageCount: number } {
	const timers = new VirtualTimerService()
	const random = createRandom(seed)
	const backendPool = new SimulatedBackendPool(scenario.servers, scenario.slots)
	const meter = new ShareMeter(scenario, backendPool)
	const waits: number[] = []
	let messageCount = 0
	const isOwned = method === 'owner' || method === 'central'
	const latency = method === 'central' ? 0 : NETWORK_LATENCY
	const digests: { teams: Map<string, TeamLoad>; servers: Map<string, number> }[] = []
	const instances = Array.from({ length: scenario.daemons }, (_, index) => `entry-${index}`)
	const getPeerDigests = (index: number) => digests.filter((_, other) => other !== index)
	const owner = new SlotOwner({
		timers,
		instance: 'owner',
		getServers: () =>
			Array.from({ length: scenario.servers }, (_, index) => ({
				name: String(index),
				availabilityZone: 'zone',
				slots: scenario.slots,
			})),
		getWeight: (team) => scenario.shares.get(team) ?? 1,
		getZone: () => 'zone',
	})
	const daemons = instances.map((name, index) => {
		const holder = new SlotHolder(name, timers)
		holder.setOwner(POOL, 'owner')
		const digestSlots = new DigestSlotSource(
			timers,
			scenario,
			(server) =>
				getPeerDigests(index).reduce((sum, digest) => sum + (digest.servers.get(server) ?? 0), 0),
			random
		)
		const capacity = scenario.servers * scenario.slots
		const slots = isOwned ? new GrantedSlotSource(holder, capacity) : digestSlots
		const daemon = new SimulatedDaemon({
			timers,
			backendPool,
			policy: method === 'fleet' ? new FleetSharePolicy() : new LocalSharePolicy(),
			slots,
			weights: scenario.shares,
			getPeerLoad: () => sumLoads(getPeerDigests(index).map((digest) => digest.teams)),
			drawRunTime: () => -Math.log(1 - random()) * scenario.meanRunMilliseconds,
			onStart: (request) => {
				waits.push(timers.now() - request.enqueuedAt - NETWORK_LATENCY)
			},
			onEnd: (server, team, result) => {
				if (isOwned) holder.end({ pool: POOL, team, server }, result)
				else digestSlots.release(server)
				if (result === 'full') digestSlots.markFull(server)
			},
		})
		return { daemon, holder, digestSlots, reported: 0, reportedAt: 0 }
	})
	const deliverGrants = (grants: readonly SlotGrant[]): void => {
		for (const grant of grants) {
			timers.after(latency, () => {
				const target = daemons[instances.indexOf(grant.instance)]
				target?.holder.addGrant(grant, 'owner')
				target?.daemon.scheduler.tick()
			})
		}
		if (grants.length > 0) messageCount += new Set(grants.map((grant) => grant.instance)).size
	}
	const sendReport = (row: (typeof daemons)[number]): void => {
		const { daemon, holder } = row
		holder.returnUnusedGrants()
		const demands = daemon.scheduler.getDemands(POOL, (team) =>
			Math.max(
				0,
				daemon.scheduler.queues.getTeamQueueSize(POOL, team) - holder.countUnused(POOL, team)
			)
		)
		const waitingCount = demands.reduce((sum, demand) => sum + demand.count, 0)
		const isDue = timers.now() - row.reportedAt >= DEMAND_REPORT_INTERVAL
		const hasNewDemand =
			waitingCount !== row.reported && (isDue || row.reported === 0 || method === 'central')
		if (!holder.hasEnds(POOL) && !hasNewDemand) return
		row.reported = waitingCount
		row.reportedAt = timers.now()
		messageCount += 1
		const message = holder.createReport(POOL, demands)
		timers.after(latency, () => {
			owner.applyReport(message)
			deliverGrants(owner.grantFreeSlots(POOL))
		})
	}
	if (isOwned) {
		for (const row of daemons) {
			timers.every(method === 'central' ? 1 : REPORT_INTERVAL, () => {
				sendReport(row)
			})
		}
	} else {
		daemons.forEach(({ daemon, digestSlots }, index) => {
			const publish = (): void => {
				digests[index] = {
					teams: daemon.scheduler.getOwnLoad(POOL),
					servers: new Map(digestSlots.running),
				}
			}
			publish()
			timers.after((index * DIGEST_INTERVAL) / scenario.daemons, () => {
				timers.every(DIGEST_INTERVAL, publish)
			})
			timers.every(TICK_INTERVAL, () => {
				daemon.scheduler.tick()
			})
		})
	}
	startArrivals(scenario, timers, random, (index, team) => daemons[index]?.daemon.submit(team))
	timers.every(ShareMeter.interval, () => {
		meter.sample(timers.now())
	})
	timers.advance(scenario.durationMilliseconds)
	return { meter, backendPool, waits, messageCount }
}

function startArrivals(
	scenario: ShareScenario,
	timers: VirtualTimerService,
	random: () => number,
	submit: (daemon: number, team: string) => void
): void {
	const stepInterval = 5
	let nextHome = 0
	for (const team of scenario.shares.keys()) {
		const teamHome = nextHome++ % scenario.daemons
		timers.every(stepInterval, () => {
			const offered = scenario.getOfferedLoad(team, timers.now())
			const mean = (offered * stepInterval) / scenario.meanRunMilliseconds
			for (let count = drawPoisson(mean, random); count > 0; count--) {
				const isHome = random() < scenario.skew
				submit(isHome ? teamHome : Math.floor(random() * scenario.daemons), team)
			}
		})
	}
}

function drawPoisson(mean: number, random: () => number): number {
	let count = 0
	for (let product = random(); product > Math.exp(-mean); product *= random()) count += 1
	return count
}

function sumLoads(loads: readonly ReadonlyMap<string, TeamLoad>[]): Map<string, TeamLoad> {
	const sums = new Map<string, TeamLoad>()
	for (const row of loads.flatMap((load) => [...load.values()])) {
		const sum = sums.get(row.team) ?? { team: row.team, running: 0, queued: 0 }
		sums.set(row.team, {
			team: row.team,
			running: sum.running + row.running,
			queued: sum.queued + row.queued,
		})
	}
	return sums
}
