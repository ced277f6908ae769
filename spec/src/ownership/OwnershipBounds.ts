/** How far a search goes. Every figure is a most. */
export interface OwnershipBounds {
	readonly tasks: number
	readonly servers: number
	/** Tasks that may run at once. */
	readonly limit: number
	/** Ticks of time. */
	readonly ticks: number
	/** Times that another instance becomes the owner. */
	readonly takeovers: number
	/** Placements of all owners together. */
	readonly placements: number
	/** Times that a backend server is born again. */
	readonly restarts: number
	/** Runs that end by themselves. */
	readonly finishes: number
	/** Calls of listings and renewals of all owners together. */
	readonly listings: number
	/** Orders and renewals without an answer, which may be carried out late. */
	readonly unanswered: number
}
