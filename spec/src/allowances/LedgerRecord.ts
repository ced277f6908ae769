/**
 * Records that members append to the log of the ledger model. A negative `delta` releases units.
 *
 * @public
 */
export type LedgerRecord =
	| { readonly kind: 'heartbeat'; readonly member: number; readonly sentAt: number }
	| {
			readonly kind: 'allowance'
			readonly member: number
			readonly sequence: number
			readonly delta: number
	  }
