import { createHash, timingSafeEqual } from 'node:crypto'
import type { Settings } from '../settings/Settings.js'

/**
 * Checks operators' bearer tokens against the hashes in the settings. Every hash is compared, each
 * in constant time, whichever fits.
 *
 * @internal
 */
export class OperatorCredentials {
	private readonly rows: readonly { readonly name: string; readonly hash: Buffer }[]

	constructor(operators: Settings['operators']) {
		this.rows = operators.map(({ name, tokenHash }) => ({
			name,
			hash: Buffer.from(tokenHash, 'hex'),
		}))
	}

	/**
	 * Gets the operator whose token an `Authorization` header carries.
	 *
	 * @returns undefined when the header is missing, malformed or carries no known token
	 */
	getOperator(authorization: string | undefined): string | undefined {
		const [, token] = /^Bearer ([\x21-\x7e]+)$/i.exec(authorization ?? '') ?? []
		if (token === undefined) return undefined
		const shown = createHash('sha256').update(token).digest()
		let operator: string | undefined
		for (const { name, hash } of this.rows) {
			if (timingSafeEqual(hash, shown)) operator = name
		}
		return operator
	}
}
