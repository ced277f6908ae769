import type { Fleet } from './Fleet.js'
import type { FleetProblem } from './FleetProblem.js'

/**
 * Result of parsing and validating a fleet file.
 *
 * @public
 */
export type FleetParseResult =
	| { readonly type: 'valid'; readonly fleet: Fleet }
	| { readonly type: 'invalid'; readonly problems: readonly FleetProblem[] }
