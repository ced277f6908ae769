/**
 * Error types of the operators' HTTP interface.
 *
 * - `unauthorized`: no valid operator credential
 * - `malformed`: the request cannot be parsed
 * - `too-large`: the body exceeds the size limit
 * - `not-found`: no such resource
 * - `method-not-allowed`: the resource does not support the method
 * - `invalid`: the document is not a valid fleet
 * - `rejected`: the change was rejected and is not in force
 * - `not-appended`: the platform's log was unreachable; the change will not take effect
 * - `overloaded`: the daemon reads too many bodies; nothing was changed
 * - `outcome-unknown`: the change may take effect; retry with the same proposal id
 * - `internal`: an error in the daemon
 *
 * @public
 */
export type OperatorErrorType =
	| 'unauthorized'
	| 'malformed'
	| 'too-large'
	| 'not-found'
	| 'method-not-allowed'
	| 'invalid'
	| 'rejected'
	| 'not-appended'
	| 'overloaded'
	| 'outcome-unknown'
	| 'internal'
