import type { RunEnd } from './RunEnd.js'
import type { Listing } from './Listing.js'
import type { OwnedTask } from './OwnedTask.js'
import type { TaskStatus } from './TaskStatus.js'

/** One term of ownership. It is kept after its end because an append may still be in flight. */
export interface OwnerState {
	readonly term: number
	readonly token: number
	readonly isActive: boolean
	/** Tick of the last answer from the log. */
	readonly logAnsweredAt: number
	/** Number of decisions made. */
	readonly version: number
	/** `version` up to which the log has confirmed the decisions as durable. */
	readonly durableVersion: number
	/** Listings requested. */
	readonly listingCount: number
	/** Append in flight. An owner has one at a time. */
	readonly append: { readonly version: number; readonly tasks: readonly TaskStatus[] } | undefined
	readonly tasks: readonly OwnedTask[]
	/** By server: tick by which every lease has expired. */
	readonly leasedUntil: readonly number[]
	/** By server: incarnation last listed; 0 if none was. */
	readonly incarnations: readonly number[]
	/** Ends read from listings, with the `version` that must be durable to acknowledge them. */
	readonly ends: readonly {
		readonly server: number
		readonly end: RunEnd
		readonly version: number
	}[]
	readonly listing: Listing | undefined
}
