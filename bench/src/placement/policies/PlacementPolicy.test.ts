import { expect, test } from 'vitest'
import type { PlacementCandidate } from './PlacementCandidate.js'
import type { PlacementRequest } from './PlacementRequest.js'
import { LeastOutstandingPlacement } from './LeastOutstandingPlacement.js'
import { PowerOfTwoPlacement } from './PowerOfTwoPlacement.js'
import { RandomPlacement } from './RandomPlacement.js'
import { RendezvousPlacement } from './RendezvousPlacement.js'

const random = () => 0.4

const policies = [
	new RandomPlacement(random),
	new LeastOutstandingPlacement(random),
	new PowerOfTwoPlacement(random),
	new RendezvousPlacement(random),
]

function createCandidate(overrides: Partial<PlacementCandidate>): PlacementCandidate {
	const name = overrides.name ?? 'server-1'
	return {
		name,
		availabilityZone: 'zone-1',
		slots: 8,
		running: 0,
		peerRunning: 0,
		freeConnections: 8,
		...overrides,
	}
}

function createRequest(
	candidates: readonly PlacementCandidate[],
	excluded: readonly string[] = []
): PlacementRequest {
	const zoneInstances = ['entry-1', 'entry-2']
	return {
		availabilityZone: 'zone-1',
		instance: 'entry-1',
		zoneInstances,
		excluded: new Set(excluded),
		candidates,
	}
}

test.each(policies)('$name prefers its own zone and spills when that is full', (policy) => {
	const far = createCandidate({ name: 'far', availabilityZone: 'zone-2' })
	const near = createCandidate({ name: 'near', running: 7 })
	const full = createCandidate({ name: 'near', running: 8 })
	expect(policy.choose(createRequest([far, near]))).toBe('near')
	expect(policy.choose(createRequest([far, full]))).toBe('far')
})

test.each(policies)(
	'$name picks nothing if all candidates are full, unconnected or excluded',
	(policy) => {
		const full = createCandidate({ running: 8 })
		const unconnected = createCandidate({ freeConnections: 0 })
		const tried = createCandidate({})
		expect(policy.choose(createRequest([]))).toBeUndefined()
		expect(policy.choose(createRequest([full]))).toBeUndefined()
		expect(policy.choose(createRequest([unconnected]))).toBeUndefined()
		expect(policy.choose(createRequest([tried], ['server-1']))).toBeUndefined()
	}
)

test('power of two and rendezvous count requests of peers', () => {
	const full = createCandidate({ name: 'full', peerRunning: 8 })
	const idle = createCandidate({ name: 'idle' })
	for (const policy of policies.slice(2)) {
		expect(policy.choose(createRequest([full, idle]))).toBe('idle')
	}
})
