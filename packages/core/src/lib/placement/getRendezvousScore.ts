/**
 * Returns the score of a pair of names for rendezvous hashing (FNV-1a with a final mix). Of several
 * candidates for a name, the one with the highest score owns it.
 *
 * @returns an integer in [0, 2^32)
 *
 * @public
 */
export function getRendezvousScore(first: string, second: string): number {
	let hash = 0x811c9dc5
	for (const character of `${first}\n${second}`) {
		hash = Math.imul(hash ^ (character.codePointAt(0) ?? 0), 0x01000193)
	}
	hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b)
	hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35)
	return (hash ^ (hash >>> 16)) >>> 0
}
