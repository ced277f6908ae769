import type { AvailabilityZoneId } from '../ids/AvailabilityZoneId.js'
import type { InstanceId } from '../ids/InstanceId.js'
import type { ProposalId } from '../ids/ProposalId.js'

/**
 * Adds an entry instance as a member.
 *
 * @public
 */
export interface JoinProposal {
	readonly kind: 'join'
	readonly id: ProposalId
	readonly instance: InstanceId
	readonly availabilityZone: AvailabilityZoneId
	/** `host:port` of its listener for peers. */
	readonly peerAddress: string
}
