import {
	type BackendServerId,
	createFleetState,
	type FleetState,
	type InstanceId,
	type Milliseconds,
} from '@mastichead/core'
import { expect, test } from 'vitest'
import { LocalMaintenanceMonitor } from './LocalMaintenanceMonitor.js'
import { HealthChecker } from './HealthChecker.js'
import { MaintenancePlatform } from './MaintenancePlatform.js'

/** Log time at which the drain started, in milliseconds. */
const DRAINED_AT = 5000
const LONGEST_RUN_MILLISECONDS = 3000
/** Longest run plus 1% clock error and 10 s. */
const RECLAIM_DELAY_MILLISECONDS = 13_030

class UnhealthyChecker extends HealthChecker {
	override check(): Promise<boolean> {
		return Promise.resolve(false)
	}

	override close(): void {
		return
	}
}

class UnknownProgressPlatform extends MaintenancePlatform {
	override start(): Promise<void> {
		return Promise.resolve()
	}

	override getProgress() {
		return Promise.resolve('unknown' as const)
	}
}

function createState(at: Milliseconds): FleetState {
	const state = createFleetState()
	state.at = at
	state.runBounds = [{ runMilliseconds: LONGEST_RUN_MILLISECONDS }]
	state.placements.set('s', {
		pool: 'p',
		health: 'healthy',
		activity: { type: 'draining', reason: 'operator' },
		since: { offset: 7, at: DRAINED_AT },
	})
	for (const instance of ['own', 'other', 'third']) {
		const row = { instance, availabilityZone: 'a', peerAddress: '', renewedAt: 0, sequence: 0 }
		state.members.set(instance, { ...row, joinedOffset: 0, lapsed: false, allowances: new Map() })
	}
	return state
}

function createMonitor(options: {
	readonly at?: Milliseconds
	readonly ownRunning?: number
	/** By peer, the last log offset at which it reported that nothing runs. */
	readonly drainedOffsets: Readonly<Record<InstanceId, number>>
}): LocalMaintenanceMonitor {
	return new LocalMaintenanceMonitor({
		log: {
			state: createState(options.at ?? DRAINED_AT),
			isReady: true,
			propose: () => Promise.reject(new Error('unexpected proposal')),
		},
		instance: 'own',
		peers: {
			getCurrentInstances: () => [],
			isDrainedAt: (instance: InstanceId, _server: BackendServerId, offset: number) =>
				(options.drainedOffsets[instance] ?? -1) >= offset,
			getPeerRunningCount: () => 0,
		},
		healthChecker: new UnhealthyChecker(),
		platform: new UnknownProgressPlatform(),
		getOwnRunningCount: () => options.ownRunning ?? 0,
	})
}

test.each([
	['every member reported it after the drain', { drainedOffsets: { other: 7, third: 9 } }, true],
	['one member has not applied the drain', { drainedOffsets: { other: 7, third: 6 } }, false],
	['one member has not reported', { drainedOffsets: { other: 7 } }, false],
	['this daemon runs a request', { drainedOffsets: { other: 7, third: 7 }, ownRunning: 1 }, false],
	[
		'the longest run is not over',
		{ drainedOffsets: {}, at: DRAINED_AT + RECLAIM_DELAY_MILLISECONDS },
		false,
	],
	[
		'the longest run is over',
		{ drainedOffsets: {}, at: DRAINED_AT + RECLAIM_DELAY_MILLISECONDS + 1 },
		true,
	],
	[
		'the longest run is over but this daemon runs a request',
		{ drainedOffsets: {}, at: 99_000, ownRunning: 1 },
		false,
	],
])('%s', (_, options, isDrained) => {
	expect(createMonitor(options).isDrained('s')).toBe(isDrained)
})
