import { randomBytes } from 'node:crypto'
import type { CallerKey } from './CallerKey.js'

const ID_BYTES = 8
const SECRET_BYTES = 32

/**
 * Creates a caller key from a public id of 64 random bits and a secret of 256 random bits.
 *
 * @public
 */
export function createCallerKey(): CallerKey {
	const id = randomBytes(ID_BYTES).toString('hex')
	const secret = randomBytes(SECRET_BYTES).toString('base64url')
	return { id, secret, text: `mh_${id}_${secret}` }
}
