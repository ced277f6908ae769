import type { DaemonStatus, InstanceId, Milliseconds } from '@mastichead/core'
import type { Peer } from './Peer.js'

/**
 * Describes a peer by its last digest.
 *
 * @param options.instance - its incarnation
 * @param options.now - instant of the description
 * @param options.maximumAge - age up to which its last word counts
 * @internal
 */
export function createPeerStatus(
	peer: Peer,
	options: {
		readonly instance: InstanceId
		readonly availabilityZone: string
		readonly now: Milliseconds
		readonly maximumAge: Milliseconds
	}
): DaemonStatus {
	const { instance, availabilityZone, now, maximumAge } = options
	const age = now - peer.lastHeardAt
	return {
		instance,
		availabilityZone,
		source: 'digest',
		reachable: age <= maximumAge,
		ageMilliseconds: Number.isFinite(age) ? age : undefined,
		offset: peer.offset,
		version: peer.version,
		logAgeMilliseconds: peer.logAge === undefined ? undefined : peer.logAge + age,
		leaving: peer.isLeaving,
		teams: [...peer.teamLoads.values()].map(({ team, running, queued, pools }) => ({
			team,
			running,
			queued,
			pools: pools.map((row) => ({ pool: row.pool, running: row.running, queued: row.queued })),
		})),
	}
}
