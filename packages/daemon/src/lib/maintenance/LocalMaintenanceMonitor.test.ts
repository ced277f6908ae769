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

const DRAINED_AT = 5000
const LONGEST_RUN = 3000
/** Longest run, 1% of clock error, and 10 s. */
const WAIT = 13_030

class SilentHealth extends HealthChecker {
	override check(): Promise<boolean> {
		return Promise.resolve(false)
	}

	override close(): void {
		return
	}
}

class SilentPlatform extends MaintenancePlatform {
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
	state.runBounds = [{ runMilliseconds: LONGEST_RUN }]
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

function createEvidence(options: {
	readonly at?: Milliseconds
	readonly ownRunning?: number
	/** Last offset with which each peer said that nothing runs. */
	readonly said: Readonly<Record<InstanceId, number>>
}): LocalMaintenanceMonitor {
	return new LocalMaintenanceMonitor({
		log: {
			state: createState(options.at ?? DRAINED_AT),
			isReady: true,
			propose: () => Promise.reject(new Error('nothing is proposed')),
		},
		instance: 'own',
		peers: {
			getCurrentInstances: () => [],
			isDrainedAt: (instance: InstanceId, _server: BackendServerId, offset: number) =>
				(options.said[instance] ?? -1) >= offset,
			getPeerRunning: () => 0,
		},
		healthChecker: new SilentHealth(),
		platform: new SilentPlatform(),
		getOwnRunningCount: () => options.ownRunning ?? 0,
	})
}

test.each([
	['every member said so past the drain', { said: { other: 7, third: 9 } }, true],
	['one member has not folded the drain', { said: { other: 7, third: 6 } }, false],
	['one member says nothing', { said: { other: 7 } }, false],
	['this daemon runs something', { said: { other: 7, third: 7 }, ownRunning: 1 }, false],
	['the longest run is not over', { said: {}, at: DRAINED_AT + WAIT }, false],
	['the longest run is over', { said: {}, at: DRAINED_AT + WAIT + 1 }, true],
	['it is over but this daemon runs something', { said: {}, at: 99_000, ownRunning: 1 }, false],
])('%s', (_, options, isDrained) => {
	expect(createEvidence(options).isDrained('s')).toBe(isDrained)
})
