import type { RunEnd } from './RunEnd.js'

/** Answer of a backend server that its owner has not read yet. */
export interface Listing {
	readonly server: number
	readonly sequence: number
	readonly incarnation: number
	readonly running: readonly (readonly [task: number, attempt: number])[]
	readonly ended: readonly RunEnd[]
}
