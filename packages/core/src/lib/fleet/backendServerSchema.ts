import { z } from 'zod'
import { nameSchema } from './nameSchema.js'

const MAXIMUM_SLOTS = 10_000
const MAXIMUM_CONNECTIONS = 100_000
const MAXIMUM_PORT = 65_535

function isAddress(text: string): boolean {
	const match = /^(?:[A-Za-z0-9.-]+|\[[0-9A-Fa-f:.]+\]):(\d{1,5})$/.exec(text)
	const port = Number(match?.[1] ?? 0)
	return port >= 1 && port <= MAXIMUM_PORT
}

/**
 * Schema of a backend server row with all fields present.
 *
 * @internal
 */
export const backendServerSchema = z.strictObject({
	name: nameSchema,
	availabilityZone: nameSchema,
	rack: nameSchema,
	address: z.string().refine(isAddress, 'not an address (host:port)'),
	pool: nameSchema,
	slots: z.int().min(1).max(MAXIMUM_SLOTS),
	connections: z.int().min(1).max(MAXIMUM_CONNECTIONS),
})
