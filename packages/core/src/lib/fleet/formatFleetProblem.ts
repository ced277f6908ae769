import type { FleetProblem } from './FleetProblem.js'

/**
 * Formats a problem as one line, such as `queues[2].pool: no such pool quote`.
 *
 * @public
 */
export function formatFleetProblem(problem: FleetProblem): string {
	return problem.path === '' ? problem.message : `${problem.path}: ${problem.message}`
}
