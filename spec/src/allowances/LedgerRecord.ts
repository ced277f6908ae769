/**
 * Records of the ledger model.
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
