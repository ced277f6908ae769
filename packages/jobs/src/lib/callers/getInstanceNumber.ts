import { createHash } from 'node:crypto'

/**
 * Returns a whole number for an instance that is spread evenly over all instances.
 *
 * @param member - name of the instance in the group of instances
 * @internal
 */
export function getInstanceNumber(member: string): number {
	return createHash('sha256').update(member).digest().readUInt32BE(0)
}
