import { expect, it } from 'vitest'
import { BackendTable } from '../BackendTable.js'
import { getBackendAvailability } from './getBackendAvailability.js'

const NOW = 1_000
const usable = { registered: true, reconciled: true, reachable: true }

it.each([
	['usable', {}],
	['usable', { avoidedUntil: NOW }],
	['unregistered', { registered: false, cordoned: true }],
	['closing', { draining: true }],
	['closing', { cordoned: true, reachable: false }],
	['unreachable', { reachable: false, reconciled: false }],
	['unlisted', { reconciled: false }],
	['avoided', { avoidedUntil: NOW + 1 }],
] as const)('says %s for a server with %o', (availability, state) => {
	const row = Object.assign(new BackendTable().getOrCreate('b1'), usable, state)
	expect(getBackendAvailability(row, NOW)).toBe(availability)
})
