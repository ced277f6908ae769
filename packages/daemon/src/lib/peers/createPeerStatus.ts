import type { DaemonStatus, InstanceId, Milliseconds } from '@mastichead/core'
import type { Peer } from './Peer.js'

/**
 * Creates the status of a peer from its last digest.
 *
 * @param options.instance - incarnation of the peer
 * @param options.now - current instant
 * @param options.maximumAge - time since its last message up to which the peer is reachable
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
		version: peer.fleetVersion,
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
