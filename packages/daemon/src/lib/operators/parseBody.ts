import type { z } from 'zod'
import { createErrorResponse } from './createErrorResponse.js'
import type { OperatorResponse } from './OperatorResponse.js'

/**
 * Validates a request body against a schema.
 *
 * @returns the parsed body, or the error response to send
 * @internal
 */
export function parseBody<Schema extends z.ZodType>(
	schema: Schema,
	body: unknown
):
	| { readonly type: 'body'; readonly body: z.output<Schema> }
	| { readonly type: 'error'; readonly response: OperatorResponse } {
	const result = schema.safeParse(body ?? {})
	if (result.success) return { type: 'body', body: result.data }
	const issue = result.error.issues[0]
	const path = issue?.path.join('.') ?? ''
	const message = `${path === '' ? 'body' : path}: ${issue?.message ?? 'invalid'}`
	return { type: 'error', response: createErrorResponse('malformed', message) }
}
