/**
 * Types of the errors that can end an accepted request.
 *
 * @public
 */
export type FinalErrorType =
	| 'backend-unreachable'
	| 'backend-refused'
	| 'backend-reset'
	| 'backend-timeout'
	| 'backend-malformed'
	| 'backend-truncated'
	| 'deadline-exceeded'
	| 'cancelled'
