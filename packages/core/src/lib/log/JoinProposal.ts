import type { AvailabilityZoneId } from '../ids/AvailabilityZoneId.js'
import type { InstanceId } from '../ids/InstanceId.js'
import type { ProposalId } from '../ids/ProposalId.js'

/**
 * Adds an entry instance to the members.
 *
 * @public
 */
export interface JoinProposal {
	readonly kind: 'join'
	readonly id: ProposalId
	readonly instance: InstanceId
	readonly availabilityZone: AvailabilityZoneId
	/** `host:port` of its peer port. */
	readonly peerAddress: string
}
