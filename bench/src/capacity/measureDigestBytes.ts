import { Digest } from '@mastichead/protocol'

/**
 * Returns the encoded size of a digest that names `teams` teams, each with load on one pool.
 *
 * @internal
 */
export function measureDigestBytes(teams: number): number {
	return Digest.encode({
		instance: 'region-1-zone-1-entry-1.0123456789ab',
		offset: 1_000_000,
		version: 900_000,
		withdrawnKeys: [],
		logAgeMilliseconds: 1000,
		leaving: false,
		stranger: false,
		drained: [],
		servers: [],
		teams: Array.from({ length: teams }, (_, index) => ({
			team: `team-${index}`,
			running: 12,
			queued: 3,
			lendable: 4,
			usable: 16,
			pools: [{ pool: `pool-${index}`, running: 12, queued: 3 }],
		})),
	}).finish().length
}
