import type { RunEnd } from './RunEnd.js'

/** Answer of a backend server to a listing request, not yet read by the owner. */
export interface Listing {
	readonly server: number
	/** Number of the request; the first listing of an owner has 1. */
	readonly sequence: number
	readonly incarnation: number
	readonly running: readonly (readonly [task: number, attempt: number])[]
	readonly ended: readonly RunEnd[]
}
