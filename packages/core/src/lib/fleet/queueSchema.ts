import { z } from 'zod'
import { nameSchema } from './nameSchema.js'

const MAXIMUM_TIMEOUT_MILLISECONDS = 24 * 3_600_000
const MAXIMUM_RUN_MILLISECONDS = 24 * 3_600_000
const MAXIMUM_QUEUED = 100_000

/**
 * Schema of a queue row with all required fields present.
 *
 * @internal
 */
export const queueSchema = z.strictObject({
	name: nameSchema,
	pool: nameSchema,
	teams: z.array(nameSchema).min(1).optional(),
	openTeam: nameSchema.optional(),
	urgency: z.enum(['urgent', 'ordinary']),
	timeoutMilliseconds: z.int().min(1).max(MAXIMUM_TIMEOUT_MILLISECONDS),
	runMilliseconds: z.int().min(1).max(MAXIMUM_RUN_MILLISECONDS),
	maximumQueued: z.int().min(0).max(MAXIMUM_QUEUED),
})
