import { expect, test } from 'vitest'
import { createFleetState } from '../state/createFleetState.js'
import type { FleetState } from '../state/FleetState.js'
import { HealthView } from './HealthView.js'

function createState(options: {
	zones: readonly string[]
	reports: readonly string[]
}): FleetState {
	const state = createFleetState()
	const server = {
		name: 's',
		availabilityZone: 'a',
		rack: 'r',
		address: '',
		pool: 'p',
		slots: 8,
		connections: 64,
	}
	state.backendServers.set('s', server)
	state.placements.set('s', {
		pool: 'p',
		health: 'healthy',
		activity: { type: 'serving' },
		reports: options.reports,
	})
	options.zones.forEach((availabilityZone, index) => {
		const instance = `${availabilityZone}${index}`
		const row = {
			instance,
			availabilityZone,
			peerAddress: '',
			joinedOffset: 0,
			lapsed: false,
			renewedAt: 0,
			sequence: 0,
			allowances: new Map(),
		}
		state.members.set(instance, row)
	})
	return state
}

test.each([
	[['a', 'a', 'a'], [], 'healthy'],
	[['a', 'a', 'a'], ['a0'], 'healthy'],
	[['a', 'a', 'a'], ['a0', 'a2'], 'failed'],
	[['a', 'a'], ['a1'], 'unknown'],
	[['a', 'a'], ['a0', 'a1'], 'failed'],
	[['a', 'a', 'b', 'b', 'b'], ['b2', 'b3', 'b4'], 'healthy'],
	[['a', 'b', 'b'], ['b1', 'b2'], 'failed'],
	[['a'], ['a0'], 'unknown'],
	[['a', 'a'], ['a0', 'gone'], 'unknown'],
	[[], [], 'unknown'],
] as const)('members in zones %j, failure reports from %j: %s', (zones, reports, health) => {
	expect(new HealthView(createState({ zones, reports })).getHealth('s')).toBe(health)
})

test('ignores the reports of a member whose lease has expired', () => {
	const state = createState({ zones: ['a', 'a', 'a'], reports: ['a0', 'a1'] })
	const lapsed = state.members.get('a0')
	if (lapsed) state.members.set('a0', { ...lapsed, renewedAt: -120_001 })
	expect(new HealthView(state).getHealth('s')).toBe('unknown')
})
