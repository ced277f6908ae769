import { type FleetState, isKeySecret, parseKey, type Queue, type TeamId } from '@mastichead/core'
import { CallerAuthenticator } from '../callers/CallerAuthenticator.js'
import type { Refusal } from '../callers/Refusal.js'

const BEARER_PATTERN = /^Bearer (\S+)$/i

/**
 * Authenticates callers by the keys of the folded state.
 *
 * @public
 */
export class KeyManager extends CallerAuthenticator {
	constructor(private readonly getState: () => FleetState) {
		super()
	}

	override authenticate(
		authorization: string | undefined,
		queue: Queue
	): { type: 'authenticated'; team: TeamId } | { type: 'refused'; refusal: Refusal } {
		if (authorization === undefined) {
			if (queue.openTeam !== undefined) return { type: 'authenticated', team: queue.openTeam }
			return refuse(401, 'key-missing', 'show a key as a bearer token')
		}
		const shown = parseKey(BEARER_PATTERN.exec(authorization)?.[1] ?? '')
		if (!shown) return refuse(401, 'key-malformed', 'this is not a key')
		const key = this.getState().keys.get(shown.id)
		const isValid = isKeySecret(shown.secret, key?.hash)
		if (!key || !isValid || key.state !== 'active') {
			return refuse(401, 'key-refused', 'the key is unknown or withdrawn')
		}
		if (queue.teams && !queue.teams.includes(key.team)) {
			return refuse(403, 'team-refused', `team ${key.team} may not use queue ${queue.name}`)
		}
		return { type: 'authenticated', team: key.team }
	}
}

function refuse(
	status: number,
	error: Refusal['error'],
	message: string
): { type: 'refused'; refusal: Refusal } {
	return { type: 'refused', refusal: { status, error, message, verdict: 'not-run' } }
}
