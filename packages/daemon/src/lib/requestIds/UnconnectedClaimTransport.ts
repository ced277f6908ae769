import { ClaimTransport } from './ClaimTransport.js'

/**
 * Transport of a daemon without peers, which can reach no other issuer.
 *
 * @public
 */
export class UnconnectedClaimTransport extends ClaimTransport {
	override claim(): ReturnType<ClaimTransport['claim']> {
		return Promise.resolve({ type: 'unreachable' })
	}

	override settle(): Promise<boolean> {
		return Promise.resolve(false)
	}
}
