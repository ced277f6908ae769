import type { TeamId } from '../ids/TeamId.js'

/**
 * Hands out units of a team's allowance, one for each running request.
 *
 * @public
 */
export abstract class AllowanceSource<Unit = unknown> {
	/** Acquires a unit of the team's allowance. Returns undefined if none is available now. */
	abstract tryAcquire(team: TeamId): Unit | undefined

	/** Returns a unit to the allowance after its request has ended. */
	abstract release(unit: Unit): void
}
