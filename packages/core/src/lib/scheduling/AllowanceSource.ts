import type { TeamId } from '../ids/TeamId.js'

/**
 * Gives the right to have one more request of a team running.
 *
 * @public
 */
export abstract class AllowanceSource<Unit = unknown> {
	/** Takes a unit of the team's allowance, or undefined when none may be used now. */
	abstract tryAcquire(team: TeamId): Unit | undefined

	/** Gives a unit back once its request runs no more. */
	abstract release(unit: Unit): void
}
