import type { FleetProblem } from './FleetProblem.js'

/**
 * One line for a problem: `queues[2].pool: no such pool`.
 *
 * @public
 */
export function formatFleetProblem(problem: FleetProblem): string {
	return problem.path === '' ? problem.message : `${problem.path}: ${problem.message}`
}
