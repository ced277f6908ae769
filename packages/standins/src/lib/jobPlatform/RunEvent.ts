/**
 * What a backend server saw of a run.
 *
 * @public
 */
export interface RunEvent {
	readonly kind: 'started' | 'ended' | 'acknowledged'
	readonly task: string
	readonly attempt: number
	/** How the run ended; empty for a start. */
	readonly ending: string
	/** Whether the server's lease expired between the end of the run and its acknowledgement. */
	readonly leaseLapsed: boolean
	/** Milliseconds since 1970. */
	readonly at: number
}
