import type { InstanceId } from '../ids/InstanceId.js'
import type { TeamId } from '../ids/TeamId.js'

/**
 * Returns the share of a member when a limit is split evenly. The units left over by the division go
 * to the members with the lowest hash of team and member.
 *
 * @param members - names of all members that share the limit
 *
 * @public
 */
export function getEvenShare(
	limit: number,
	team: TeamId,
	instance: InstanceId,
	members: readonly InstanceId[]
): number {
	if (!members.includes(instance)) return 0
	const base = Math.floor(limit / members.length)
	const remainder = limit % members.length
	if (remainder === 0) return base
	const ownHash = hash(`${team}/${instance}`)
	const before = members.filter((member) =>
		isBefore(hash(`${team}/${member}`), ownHash, member, instance)
	)
	return before.length < remainder ? base + 1 : base
}

function isBefore(
	memberHash: number,
	ownHash: number,
	member: InstanceId,
	instance: InstanceId
): boolean {
	return memberHash === ownHash ? member < instance : memberHash < ownHash
}

/** Returns the FNV-1a hash of a text, over its UTF-16 code units. */
function hash(text: string): number {
	let value = 0x811c9dc5
	for (let index = 0; index < text.length; index++) {
		value = Math.imul(value ^ text.charCodeAt(index), 0x01000193)
	}
	return value >>> 0
}
