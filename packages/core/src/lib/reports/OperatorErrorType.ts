/**
 * Tags of the errors that the operators' HTTP interface answers with.
 *
 * - `unauthorized`: no valid operator credential
 * - `malformed`: the request cannot be read
 * - `too-large`: the body is over the limit
 * - `not-found`: no such resource
 * - `method-not-allowed`: the resource has no such method
 * - `invalid`: the document is not a valid fleet
 * - `rejected`: the change was decided against; it is not in force
 * - `not-appended`: the platform's log was not reached; the change will not come into force
 * - `outcome-unknown`: the change may come into force; ask again with the same proposal id
 * - `internal`: a fault of the daemon
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
	| 'outcome-unknown'
	| 'internal'
