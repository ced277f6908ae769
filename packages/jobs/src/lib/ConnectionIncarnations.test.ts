import { expect, it } from 'vitest'
import { ConnectionIncarnations } from './ConnectionIncarnations.js'

const CONNECTION = { name: 'used' }
const NEW_CONNECTION = { name: 'new' }

it('acknowledges ends only to the process that listed its runs over the same connection', () => {
	const incarnations = new ConnectionIncarnations()
	incarnations.recordListing(CONNECTION, 7)
	const through = 12
	expect(incarnations.getAcknowledgedThrough(CONNECTION, { incarnation: 7, through })).toBe(12)
	expect(incarnations.getAcknowledgedThrough(CONNECTION, { incarnation: 8, through })).toBe(0)
	expect(incarnations.getAcknowledgedThrough(NEW_CONNECTION, { incarnation: 7, through })).toBe(0)
})
