import type { OperatorErrorBody, OperatorErrorType, ProposalId } from '@mastichead/core'
import type { OperatorResponse } from './OperatorResponse.js'

const STATUS_BY_TYPE: Readonly<Record<OperatorErrorType, number>> = {
	unauthorized: 401,
	malformed: 400,
	'too-large': 413,
	'not-found': 404,
	'method-not-allowed': 405,
	invalid: 422,
	rejected: 409,
	'not-appended': 503,
	overloaded: 503,
	'outcome-unknown': 504,
	internal: 500,
}

/**
 * Creates an error response with the HTTP status of its type.
 *
 * @internal
 */
export function createErrorResponse(
	type: OperatorErrorType,
	message: string,
	proposalId?: ProposalId
): OperatorResponse {
	const body: OperatorErrorBody = { error: { type, message, proposalId } }
	return { type: 'json', status: STATUS_BY_TYPE[type], body }
}
