import type { RunEnd } from './RunEnd.js'
import type { Listing } from './Listing.js'
import type { OwnedTask } from './OwnedTask.js'
import type { TaskStatus } from './TaskStatus.js'

/** One term of ownership, also after its end as long as an append of it is under way. */
export interface OwnerState {
	readonly term: number
	readonly token: number
	readonly isActive: boolean
	/** Tick of the last answer of the log. */
	readonly logAnsweredAt: number
	/** Decisions made, and how many of them the log has told to be durable. */
	readonly version: number
	readonly durableVersion: number
	readonly listingCount: number
	readonly append: { readonly version: number; readonly tasks: readonly TaskStatus[] } | undefined
	readonly tasks: readonly OwnedTask[]
	/** By server: tick by which every lease has run out, and the life that is known, 0 for none. */
	readonly leasedUntil: readonly number[]
	readonly incarnations: readonly number[]
	/** Ends that were taken in, with the decision that has to be durable before they are forgotten. */
	readonly ends: readonly {
		readonly server: number
		readonly end: RunEnd
		readonly version: number
	}[]
	readonly listing: Listing | undefined
}
