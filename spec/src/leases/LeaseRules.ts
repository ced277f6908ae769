import type { LeaseBug } from './LeaseBug.js'

/** The rule that a model follows. */
export interface LeaseRules {
	/** Ticks that a lease lasts from the sending of its order. */
	readonly lease: number
	/** Ticks for which an owner sends orders without an answer from the log. */
	readonly maximumOwnerSilence: number
	readonly bug: LeaseBug | undefined
}
