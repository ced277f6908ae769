import fc from 'fast-check'
import type { MaintenanceCommand } from './MaintenanceCommand.js'
import { maintenanceFleet } from './maintenanceFleet.js'

/** Number of waves that the commands create and steer. */
const WAVES = 2

/** Creates the arbitrary of one random event. */
export function createMaintenanceCommand(): fc.Arbitrary<MaintenanceCommand> {
	const members = maintenanceFleet.memberCount
	const servers = maintenanceFleet.createServers().length
	const pools = maintenanceFleet.pools.length
	const racks = pools * maintenanceFleet.zones.length
	return fc.oneof(
		{
			weight: 12,
			arbitrary: fc.record({
				type: fc.constant('tick' as const),
				controller: index(members),
				lag: fc.oneof(fc.constant(0), fc.nat(6)),
				fate: fc.constantFrom(
					'arrives' as const,
					'arrives' as const,
					'twice' as const,
					'lost' as const,
					'late' as const
				),
			}),
		},
		{
			weight: 2,
			arbitrary: fc.record({ type: fc.constant('deliver-late' as const), keep: fc.nat(2) }),
		},
		{
			weight: 4,
			arbitrary: fc.record({
				type: fc.constant('request' as const),
				controller: index(members),
				server: index(servers),
			}),
		},
		{
			weight: 1,
			arbitrary: fc.record({
				type: fc.constant('break' as const),
				rack: index(racks),
				servers: fc.nat(2),
			}),
		},
		{
			weight: 2,
			arbitrary: fc.record({ type: fc.constant('repair' as const), rack: index(racks) }),
		},
		{
			weight: 4,
			arbitrary: fc.record({ type: fc.constant('report' as const), member: index(members) }),
		},
		{
			weight: 1,
			arbitrary: fc.record({
				type: fc.constant('false-report' as const),
				member: fc.constant(0),
				pool: index(pools),
			}),
		},
		{ weight: 3, arbitrary: fc.record({ type: fc.constant('heartbeat' as const) }) },
		{
			weight: 2,
			arbitrary: fc.record({
				type: fc.constant('drain' as const),
				server: index(servers),
				draining: fc.boolean(),
				override: fc.nat(9).map((n) => n === 0),
			}),
		},
		{
			weight: 3,
			arbitrary: fc.record({
				type: fc.constant('move' as const),
				server: index(servers),
				from: index(pools),
				to: index(pools),
				abort: fc.nat(3).map((n) => n === 0),
			}),
		},
		{
			weight: 2,
			arbitrary: fc.record({
				type: fc.constant('wave' as const),
				wave: index(WAVES),
				action: fc.constantFrom(
					'create' as const,
					'create' as const,
					'pause' as const,
					'resume' as const,
					'abort' as const
				),
			}),
		},
		{
			weight: 2,
			arbitrary: fc.record({
				type: fc.constant('apply' as const),
				pool: index(pools),
				maximumUnavailable: fc.integer({ min: 1, max: 3 }),
				server: index(servers),
				removed: fc.boolean(),
				stale: fc.nat(3).map((n) => n === 0),
			}),
		},
		{
			weight: 1,
			arbitrary: fc.record({ type: fc.constant('replace' as const), controller: index(members) }),
		},
		{
			weight: 1,
			arbitrary: fc.record({
				type: fc.constant('outage' as const),
				ticks: fc.oneof(fc.integer({ min: 1, max: 10 }), fc.constant(150)),
			}),
		}
	)
}

function index(max: number): fc.Arbitrary<number> {
	return fc.nat(max - 1)
}
