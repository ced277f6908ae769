/**
 * Score of a pair of names for rendezvous hashing (FNV-1a with a final mix). The highest score of a
 * name over all others owns it.
 *
 * @returns an integer in [0, 2^32)
 *
 * @public
 */
export function getRendezvousScore(left: string, right: string): number {
	let hash = 0x811c9dc5
	for (const character of `${left}\n${right}`) {
		hash = Math.imul(hash ^ (character.codePointAt(0) ?? 0), 0x01000193)
	}
	hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b)
	hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35)
	return (hash ^ (hash >>> 16)) >>> 0
}
