/**
 * What the configuration says of a queue.
 *
 * @public
 */
export interface QueueRules {
	readonly name: string
	readonly service: string
	/** 0 comes first. */
	readonly priority: number
	readonly maximumAttempts: number
	/** Allowed multiple of the longest chain of work. */
	readonly stretch: number
	/** Added to the allowed time, in milliseconds. */
	readonly latencyAllowance: number
	/** Calls need no key. */
	readonly public: boolean
	readonly host: string
	readonly pathPrefix: string
}
