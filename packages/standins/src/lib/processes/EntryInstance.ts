/**
 * Names and ports of one entry instance of a deployment.
 *
 * @public
 */
export interface EntryInstance {
	readonly name: string
	readonly availabilityZone: string
	readonly callerPort: number
	readonly operatorPort: number
	readonly peerPort: number
}
