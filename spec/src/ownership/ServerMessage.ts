/** A start, stop or renewal on its way to a backend server. */
export interface ServerMessage {
	readonly kind: 'start' | 'stop' | 'renew'
	readonly term: number
	readonly token: number
	readonly server: number
	readonly incarnation: number
	readonly task: number
	readonly attempt: number
	/** Tick at which the lease that it requests ends; 0 for a stop. */
	readonly leaseEnd: number
	/** Whether its sender still waits for an answer. */
	readonly isAnswerAwaited: boolean
}
