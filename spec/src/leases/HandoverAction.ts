/**
 * Actions of the hand-over model. Each takes one tick, at whose end the owner records again until when
 * leases may last.
 *
 * - `stay`: the owner stays
 * - `replace`: then another process becomes the owner, on `instance`. The one before was killed and
 *   its instance runs a new process, has left and recorded the end of its term, or is only replaced.
 */
export type HandoverAction =
	| { readonly kind: 'stay' }
	| {
			readonly kind: 'replace'
			readonly instance: number
			readonly reason: 'killed' | 'left' | 'replaced'
	  }
