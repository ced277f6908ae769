import { timingSafeEqual } from 'node:crypto'
import { hashKeySecret } from './hashKeySecret.js'

/** Compared in place of the hash of an unknown key, so that both cases take the same time. */
const UNKNOWN_KEY_HASH = '0'.repeat(64)

/**
 * Returns whether `secret` has the hash `hash`. Compares in constant time.
 *
 * @param hash - SHA-256 in hex; undefined for an unknown key, for which it returns false
 *
 * @public
 */
export function isKeySecretValid(secret: string, hash: string | undefined): boolean {
	const actualHash = Buffer.from(hashKeySecret(secret), 'hex')
	const expectedHash = Buffer.from(hash ?? UNKNOWN_KEY_HASH, 'hex')
	if (expectedHash.length !== actualHash.length) return false
	return timingSafeEqual(actualHash, expectedHash) && hash !== undefined
}
