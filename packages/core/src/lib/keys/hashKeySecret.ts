import { createHash } from 'node:crypto'

/**
 * SHA-256 of a key's secret, in hex. The secret has 256 random bits, so that a slow or salted
 * hash would add nothing.
 *
 * @public
 */
export function hashKeySecret(secret: string): string {
	return createHash('sha256').update(secret).digest('hex')
}
