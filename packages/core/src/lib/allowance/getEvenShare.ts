import type { InstanceId } from '../ids/InstanceId.js'
import type { TeamId } from '../ids/TeamId.js'

/**
 * Part of a member in an even split of a limit. Which members get the units left over is decided
 * by a hash of team and member.
 *
 * @param members - names of all members that take part
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
	const own = hash(`${team}/${instance}`)
	const before = members.filter((member) =>
		isBefore(hash(`${team}/${member}`), own, member, instance)
	)
	return before.length < remainder ? base + 1 : base
}

function isBefore(hash: number, own: number, member: InstanceId, instance: InstanceId): boolean {
	return hash === own ? member < instance : hash < own
}

/** FNV-1a over UTF-16 code units. */
function hash(text: string): number {
	let value = 0x811c9dc5
	for (let index = 0; index < text.length; index++) {
		value = Math.imul(value ^ text.charCodeAt(index), 0x01000193)
	}
	return value >>> 0
}
