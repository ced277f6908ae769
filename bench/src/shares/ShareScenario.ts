/**
 * One run of the share bench.
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
	/** Offered work by team, in slots, at an instant in milliseconds. */
	readonly getOfferedLoad: (team: string, at: number) => number
	/** Part of a team's requests that come to one daemon; the rest comes to all alike. */
	readonly skew: number
	readonly meanRunMilliseconds: number
	readonly durationMilliseconds: number
}
