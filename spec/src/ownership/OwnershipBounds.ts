/** Bounds of a search. Every number is a maximum. */
export interface OwnershipBounds {
	readonly tasks: number
	readonly servers: number
	/** Tasks that may run at once. */
	readonly limit: number
	/** Tick at which time stops. */
	readonly ticks: number
	/** Takeovers by another instance. */
	readonly takeovers: number
	/** Placements of all owners together. */
	readonly placements: number
	/** Restarts of all backend servers together. */
	readonly restarts: number
	/** Runs that end by themselves, on all backend servers together. */
	readonly finishes: number
	/** Listing requests and late renewals of all owners together. */
	readonly listings: number
	/** Orders and renewals without an answer, which may arrive late or never. */
	readonly unanswered: number
}
