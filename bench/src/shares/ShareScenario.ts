/**
 * Demand and fleet of one share simulation.
 *
 * @internal
 */
export interface ShareScenario {
	readonly name: string
	readonly daemons: number
	readonly servers: number
	readonly slots: number
	/** Weights by team. */
	readonly shares: ReadonlyMap<string, number>
	/** Returns the load that a team offers at a time in milliseconds, in slots. */
	readonly getOfferedLoad: (team: string, at: number) => number
	/** Fraction of a team's requests that arrive at one daemon; the rest spread over all evenly. */
	readonly skew: number
	readonly meanRunMilliseconds: number
	readonly durationMilliseconds: number
}
