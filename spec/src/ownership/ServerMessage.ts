/** A call on its way to a backend server. */
export interface ServerMessage {
	readonly kind: 'start' | 'stop' | 'renew'
	readonly term: number
	readonly token: number
	readonly server: number
	readonly incarnation: number
	readonly task: number
	readonly attempt: number
	readonly leaseEnd: number
	/** Whether its sender still waits for the answer. */
	readonly isAnswerAwaited: boolean
}
