import type { End } from './End.js'

/** Answer of a backend server that its owner has not read yet. */
export interface Listing {
	readonly server: number
	readonly sentAt: number
	readonly incarnation: number
	readonly running: readonly (readonly [task: number, attempt: number])[]
	readonly ended: readonly End[]
}
