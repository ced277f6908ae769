import { SlotOwner, VirtualTimerService } from '@mastichead/core'

const INSTANCES = 8
const SERVERS = 28
const SLOTS = 8
const ROUNDS = 2000
const POOL = 'pool'

/**
 * Returns the processor time of a slot owner per request (one demand, one grant and one end), in
 * microseconds, while `teams` teams wait for a pool of average size.
 *
 * @internal
 */
export function measureSlotOwnerMicroseconds(teams: number): number {
	const timers = new VirtualTimerService()
	const owner = new SlotOwner({
		timers,
		instance: 'owner',
		getServers: () =>
			Array.from({ length: SERVERS }, (_, index) => ({
				name: `server-${index}`,
				availabilityZone: `zone-${index % 9}`,
				slots: SLOTS,
			})),
		getWeight: () => 1,
		getZone: () => 'zone-1',
	})
	const heldGrants: { id: string }[] = []
	const processReport = (round: number): void => {
		const endedGrant = heldGrants.length >= SERVERS * SLOTS ? heldGrants.shift() : undefined
		owner.applyReport({
			instance: `entry-${round % INSTANCES}`,
			pool: POOL,
			ends: endedGrant ? [{ grant: endedGrant.id, result: 'success' }] : [],
			demands: Array.from({ length: Math.ceil(teams / INSTANCES) }, (_, index) => ({
				team: `team-${(round % INSTANCES) * Math.ceil(teams / INSTANCES) + index}`,
				urgency: 'ordinary',
				count: 1,
				oldestAge: 10,
			})),
		})
		heldGrants.push(...owner.grantFreeSlots(POOL))
		timers.advance(1)
	}
	for (let round = 0; round < ROUNDS; round++) processReport(round)
	const startedAt = performance.now()
	for (let round = 0; round < ROUNDS; round++) processReport(round)
	return ((performance.now() - startedAt) * 1000) / ROUNDS
}
