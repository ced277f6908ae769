import type { z } from 'zod'
import { createErrorAnswer } from './createErrorAnswer.js'
import type { OperatorAnswer } from './OperatorAnswer.js'

/**
 * Checks the body of a request against the shape that a resource expects.
 *
 * @returns the body, or the error to answer with
 * @internal
 */
export function readBody<Schema extends z.ZodType>(
	schema: Schema,
	body: unknown
):
	| { readonly type: 'body'; readonly body: z.output<Schema> }
	| { readonly type: 'error'; readonly answer: OperatorAnswer } {
	const result = schema.safeParse(body ?? {})
	if (result.success) return { type: 'body', body: result.data }
	const issue = result.error.issues[0]
	const path = issue?.path.join('.') ?? ''
	const message = `${path === '' ? 'body' : path}: ${issue?.message ?? 'invalid'}`
	return { type: 'error', answer: createErrorAnswer('malformed', message) }
}
