import { timingSafeEqual } from 'node:crypto'
import { hashKeySecret } from './hashKeySecret.js'

/** Stands in for the hash of an unknown key, so that both cases take the same time. */
const ABSENT_HASH = '0'.repeat(64)

/**
 * Whether `secret` has the hash `hash`, compared in constant time.
 *
 * @param hash - SHA-256 in hex; undefined for an unknown key, which takes as long and is false
 *
 * @public
 */
export function isKeySecret(secret: string, hash: string | undefined): boolean {
	const shown = Buffer.from(hashKeySecret(secret), 'hex')
	const kept = Buffer.from(hash ?? ABSENT_HASH, 'hex')
	if (kept.length !== shown.length) return false
	return timingSafeEqual(shown, kept) && hash !== undefined
}
