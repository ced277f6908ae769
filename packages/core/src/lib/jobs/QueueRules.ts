/**
 * Configuration of a queue.
 *
 * @public
 */
export interface QueueRules {
	readonly name: string
	/** Service whose pool runs the queue's jobs. */
	readonly service: string
	/** Priority of the queue's jobs; 0 is the highest. */
	readonly priority: number
	/** Failed runs of a task after which its job fails. */
	readonly maximumAttempts: number
	/** Multiple of the critical path within which a job must finish to be on time. */
	readonly stretch: number
	/** Time added to a job's due time, in milliseconds. */
	readonly latencyAllowance: number
	/** Whether requests need no API key. */
	readonly public: boolean
	/** Host name that requests for the queue are sent to. */
	readonly host: string
	/** Path prefix of requests for the queue; of several queues, the longest matching prefix decides. */
	readonly pathPrefix: string
}
