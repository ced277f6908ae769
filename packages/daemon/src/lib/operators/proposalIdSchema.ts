import { randomUUID } from 'node:crypto'
import { z } from 'zod'

const MAXIMUM_LENGTH = 64

/**
 * Id of a change in the body of a request; a new one when the client sends none.
 *
 * @internal
 */
export const proposalIdSchema = z
	.string()
	.min(1)
	.max(MAXIMUM_LENGTH)
	.default(() => randomUUID())
