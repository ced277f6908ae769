import { createHash, timingSafeEqual } from 'node:crypto'
import type { Settings } from '../settings/Settings.js'

/**
 * Checks operator bearer tokens against the hashes in the settings. Always compares every hash, in
 * constant time, so that timing does not reveal a match.
 *
 * @internal
 */
export class OperatorCredentials {
	private readonly operators: readonly { readonly name: string; readonly hash: Buffer }[]

	constructor(operators: Settings['operators']) {
		this.operators = operators.map(({ name, tokenHash }) => ({
			name,
			hash: Buffer.from(tokenHash, 'hex'),
		}))
	}

	/**
	 * Returns the name of the operator whose token an `Authorization` header carries.
	 *
	 * @returns undefined if the header is missing, malformed or carries an unknown token
	 */
	getOperator(authorization: string | undefined): string | undefined {
		const [, token] = /^Bearer ([\x21-\x7e]+)$/i.exec(authorization ?? '') ?? []
		if (token === undefined) return undefined
		const digest = createHash('sha256').update(token).digest()
		let operator: string | undefined
		for (const { name, hash } of this.operators) {
			if (timingSafeEqual(hash, digest)) operator = name
		}
		return operator
	}
}
