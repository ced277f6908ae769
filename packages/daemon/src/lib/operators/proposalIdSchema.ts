import { randomUUID } from 'node:crypto'
import { z } from 'zod'

const MAXIMUM_LENGTH = 64

/**
 * Schema of the proposal id in a request body; defaults to a random id.
 *
 * @internal
 */
export const proposalIdSchema = z
	.string()
	.min(1)
	.max(MAXIMUM_LENGTH)
	.default(() => randomUUID())
