import { z } from 'zod'
import { nameSchema } from './nameSchema.js'

const MAXIMUM_SHARE = 1_000_000
const MAXIMUM_LIMIT = 1_000_000

/**
 * Schema of a team row with all fields present. A limit of 0 stops the team's work.
 *
 * @internal
 */
export const teamSchema = z.strictObject({
	name: nameSchema,
	share: z.number().positive().max(MAXIMUM_SHARE),
	limit: z.int().min(0).max(MAXIMUM_LIMIT),
})
