/**
 * Tags of the errors that end a request after it was accepted.
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
