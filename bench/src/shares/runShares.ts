import {
	LocalSharePolicy,
	type SlotGrant,
	SlotHolder,
	SlotOwner,
	type TeamLoad,
	VirtualTimerService,
} from '@mastichead/core'
import { FleetShare } from './FleetShare.js'
import { createRandom } from '../createRandom.js'
import { DigestServers } from './DigestServers.js'
import { OwnedServers } from './OwnedServers.js'
import { ShareDaemon } from './ShareDaemon.js'
import { ShareMeter } from './ShareMeter.js'
import type { ShareScenario } from './ShareScenario.js'
import { SlotTruth } from './SlotTruth.js'

const POOL = 'pool'
const DIGEST_MILLISECONDS = 500
const NETWORK_MILLISECONDS = 1.5
const REPORT_MILLISECONDS = 1
const DEMAND_MILLISECONDS = 4
const TICK_MILLISECONDS = 20

/**
 * How slots are given out and in which order.
 *
 * - `local`: fair per daemon, slots by digests
 * - `fleet`: max-min by digests, slots by digests
 * - `owner`: slots and order by the pool's owner
 * - `central`: the same with no time lost between entry instances, as one central queue
 *
 * @internal
 */
type Way = 'local' | 'fleet' | 'owner' | 'central'

/**
 * Runs a scenario in virtual time.
 *
 * @returns the meter, what the backend servers saw, and the waits of all started requests
 * @internal
 */
export function runShares(
	scenario: ShareScenario,
	way: Way,
	seed: number
): { meter: ShareMeter; truth: SlotTruth; waits: number[]; messages: number } {
	const timers = new VirtualTimerService()
	const random = createRandom(seed)
	const truth = new SlotTruth(scenario.servers, scenario.slots)
	const meter = new ShareMeter(scenario, truth)
	const waits: number[] = []
	let messages = 0
	const isOwned = way === 'owner' || way === 'central'
	const delay = way === 'central' ? 0 : NETWORK_MILLISECONDS
	const digests: { teams: Map<string, TeamLoad>; servers: Map<string, number> }[] = []
	const names = Array.from({ length: scenario.daemons }, (_, index) => `entry-${index}`)
	const getOthers = (index: number) => digests.filter((_, other) => other !== index)
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
	const daemons = names.map((name, index) => {
		const holder = new SlotHolder(name, timers)
		holder.setOwner(POOL, 'owner')
		const digestServers = new DigestServers(
			timers,
			scenario,
			(server) =>
				getOthers(index).reduce((sum, digest) => sum + (digest.servers.get(server) ?? 0), 0),
			random
		)
		const capacity = scenario.servers * scenario.slots
		const servers = isOwned ? new OwnedServers(holder, capacity) : digestServers
		const daemon = new ShareDaemon({
			timers,
			truth,
			policy: way === 'fleet' ? new FleetShare() : new LocalSharePolicy(),
			servers,
			shares: scenario.shares,
			getPeerLoad: () => sumLoads(getOthers(index).map((digest) => digest.teams)),
			drawRun: () => -Math.log(1 - random()) * scenario.meanRunMilliseconds,
			onStarted: (request) => {
				waits.push(timers.now() - request.enqueuedAt - NETWORK_MILLISECONDS)
			},
			onEnd: (server, team, result) => {
				if (isOwned) holder.end({ pool: POOL, team, server }, result)
				else digestServers.release(server)
				if (result === 'full') digestServers.noteFull(server)
			},
		})
		return { daemon, holder, digestServers, reported: 0, reportedAt: 0 }
	})
	const deliver = (grants: readonly SlotGrant[]): void => {
		for (const grant of grants) {
			timers.after(delay, () => {
				const target = daemons[names.indexOf(grant.instance)]
				target?.holder.addGrant(grant, 'owner')
				target?.daemon.scheduler.tick()
			})
		}
		if (grants.length > 0) messages += new Set(grants.map((grant) => grant.instance)).size
	}
	const report = (row: (typeof daemons)[number]): void => {
		const { daemon, holder } = row
		holder.returnUnusedGrants()
		const demands = daemon.scheduler.getDemands(POOL, (team) =>
			Math.max(
				0,
				daemon.scheduler.queues.getTeamQueueSize(POOL, team) - holder.countUnused(POOL, team)
			)
		)
		const waiting = demands.reduce((sum, demand) => sum + demand.count, 0)
		const isDue = timers.now() - row.reportedAt >= DEMAND_MILLISECONDS
		const isNews = waiting !== row.reported && (isDue || row.reported === 0 || way === 'central')
		if (!holder.hasEnds(POOL) && !isNews) return
		row.reported = waiting
		row.reportedAt = timers.now()
		messages += 1
		const message = holder.createReport(POOL, demands)
		timers.after(delay, () => {
			owner.applyReport(message)
			deliver(owner.grantFreeSlots(POOL))
		})
	}
	if (isOwned) {
		for (const row of daemons) {
			timers.every(way === 'central' ? 1 : REPORT_MILLISECONDS, () => {
				report(row)
			})
		}
	} else {
		daemons.forEach(({ daemon, digestServers }, index) => {
			const publish = (): void => {
				digests[index] = {
					teams: daemon.scheduler.getOwnLoad(POOL),
					servers: new Map(digestServers.running),
				}
			}
			publish()
			timers.after((index * DIGEST_MILLISECONDS) / scenario.daemons, () => {
				timers.every(DIGEST_MILLISECONDS, publish)
			})
			timers.every(TICK_MILLISECONDS, () => {
				daemon.scheduler.tick()
			})
		})
	}
	startArrivals(scenario, timers, random, (index, team) => daemons[index]?.daemon.submit(team))
	timers.every(ShareMeter.interval, () => {
		meter.sample(timers.now())
	})
	timers.advance(scenario.durationMilliseconds)
	return { meter, truth, waits, messages }
}

function startArrivals(
	scenario: ShareScenario,
	timers: VirtualTimerService,
	random: () => number,
	submit: (daemon: number, team: string) => void
): void {
	const stepMilliseconds = 5
	let home = 0
	for (const team of scenario.shares.keys()) {
		const teamHome = home++ % scenario.daemons
		timers.every(stepMilliseconds, () => {
			const offered = scenario.getOffered(team, timers.now())
			const mean = (offered * stepMilliseconds) / scenario.meanRunMilliseconds
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
		const known = sums.get(row.team) ?? { team: row.team, running: 0, queued: 0 }
		sums.set(row.team, {
			team: row.team,
			running: known.running + row.running,
			queued: known.queued + row.queued,
		})
	}
	return sums
}
