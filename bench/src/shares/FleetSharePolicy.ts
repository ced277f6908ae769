import type { TeamId } from '@mastichead/core'
import { computeMaxMinShares } from '@mastichead/core'
import type { PoolLoad } from '@mastichead/core'
import { SharePolicy } from '@mastichead/core'
import type { TeamLoad } from '@mastichead/core'

interface Candidate {
	readonly team: TeamId
	/** Running requests of the team in the whole fleet, divided by its weight. */
	readonly runningPerWeight: number
	/** Requests that this daemon may start now. */
	readonly startable: number
}

const NO_LOAD = { running: 0, queued: 0 }

/**
 * Applies weighted max-min fairness to the running and waiting requests of the whole fleet, as the
 * digests of the peers report them. A team that has its share of a full pool starts no more requests
 * here, which leaves the next free slot to a team that waits at another daemon. The requests that a
 * team may still start are split between daemons in proportion to those that wait at each.
 *
 * @internal
 */
export class FleetSharePolicy extends SharePolicy {
	override readonly name = 'fleet'

	override rankTeams(load: PoolLoad): TeamId[] {
		const teamShares = computeMaxMinShares(load.capacity, this.getDemands(load))
		return [...load.own.values()]
			.filter((row) => row.queued > 0)
			.map((row) => this.getCandidate(load, row, teamShares.get(row.team) ?? 0))
			.filter((candidate) => candidate.startable > 0)
			.sort((a, b) => a.runningPerWeight - b.runningPerWeight)
			.map((candidate) => candidate.team)
	}

	private getDemands(load: PoolLoad): Map<TeamId, { demand: number; weight: number }> {
		const demands = new Map<TeamId, { demand: number; weight: number }>()
		for (const row of [...load.own.values(), ...load.peers.values()]) {
			const knownDemand = demands.get(row.team)?.demand ?? 0
			const weight = load.weights.get(row.team) ?? 1
			demands.set(row.team, { demand: knownDemand + row.running + row.queued, weight })
		}
		return demands
	}

	private getCandidate(load: PoolLoad, own: TeamLoad, teamShare: number): Candidate {
		const peers = load.peers.get(own.team) ?? NO_LOAD
		const running = own.running + peers.running
		const localFraction = own.queued / (own.queued + peers.queued)
		return {
			team: own.team,
			runningPerWeight: running / (load.weights.get(own.team) ?? 1),
			startable: Math.ceil(teamShare - running) * localFraction,
		}
	}
}
