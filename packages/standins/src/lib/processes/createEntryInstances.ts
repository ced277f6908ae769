import type { EntryInstance } from './EntryInstance.js'

const CALLER_PORT_OFFSET = 101
const OPERATOR_PORT_OFFSET = 201
const PEER_PORT_OFFSET = 301

/**
 * Assigns names and ports to entry instances, spread evenly over the availability zones.
 *
 * @param basePort - port of the deployment's platform
 * @public
 */
export function createEntryInstances(
	availabilityZones: readonly string[],
	count: number,
	basePort: number
): EntryInstance[] {
	return Array.from({ length: count }, (_, index) => {
		const availabilityZone = availabilityZones[index % availabilityZones.length] ?? ''
		const number = Math.floor(index / availabilityZones.length) + 1
		return {
			name: `${availabilityZone}${number}`,
			availabilityZone,
			callerPort: basePort + CALLER_PORT_OFFSET + index,
			operatorPort: basePort + OPERATOR_PORT_OFFSET + index,
			peerPort: basePort + PEER_PORT_OFFSET + index,
		}
	})
}
