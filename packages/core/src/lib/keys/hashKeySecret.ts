import { createHash } from 'node:crypto'

/**
 * Returns the SHA-256 of a key's secret in hex. The secret has 256 random bits, so a slow or salted
 * hash would add no security.
 *
 * @public
 */
export function hashKeySecret(secret: string): string {
	return createHash('sha256').update(secret).digest('hex')
}
