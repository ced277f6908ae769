import { expect, it } from 'vitest'
import { getClientLimits } from './getClientLimits.js'

it('grows with the instance, and leaves descriptors to backend servers and the log', () => {
	const small = getClientLimits({ memoryMegabytes: 250, descriptors: 4_100 })
	expect(small).toMatchObject({ connections: 1_500, calls: 1_000, callsPerConnection: 32 })
	const large = getClientLimits({ memoryMegabytes: 602, descriptors: 8_192 })
	expect(large.connections).toBeGreaterThan(small.connections)
	expect(large.connections).toBeLessThan(8_192 / 2)
	expect(large.bodyBytes).toBeGreaterThan(small.bodyBytes)
})
