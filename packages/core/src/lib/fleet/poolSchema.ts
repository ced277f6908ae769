import { z } from 'zod'
import { nameSchema } from './nameSchema.js'

const MAXIMUM_BACKEND_SERVERS = 100_000

/**
 * Schema of a pool row with all fields present.
 *
 * @internal
 */
export const poolSchema = z.strictObject({
	name: nameSchema,
	spare: z.boolean(),
	minimumAvailable: z.int().min(0).max(MAXIMUM_BACKEND_SERVERS),
	maximumUnavailable: z.int().min(0).max(MAXIMUM_BACKEND_SERVERS),
})
