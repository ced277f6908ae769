/** One step of the model. */
export type OwnershipAction =
	| { readonly kind: 'tick' }
	| { readonly kind: 'take-over' }
	| { readonly kind: 'learn-of-takeover'; readonly owner: number }
	| {
			readonly kind: 'place'
			readonly owner: number
			readonly task: number
			readonly server: number
	  }
	| { readonly kind: 'complete-append'; readonly owner: number }
	| { readonly kind: 'start'; readonly owner: number; readonly task: number }
	| { readonly kind: 'stop'; readonly owner: number; readonly task: number }
	| { readonly kind: 'deliver'; readonly index: number }
	| { readonly kind: 'give-up'; readonly index: number }
	| { readonly kind: 'list'; readonly owner: number; readonly server: number }
	| { readonly kind: 'renew-late'; readonly owner: number; readonly server: number }
	| { readonly kind: 'read-listing'; readonly owner: number }
	| { readonly kind: 'declare-lost'; readonly owner: number; readonly server: number }
	| { readonly kind: 'finish'; readonly server: number }
	| { readonly kind: 'restart'; readonly server: number }
