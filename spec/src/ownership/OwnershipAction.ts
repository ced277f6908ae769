/**
 * Actions of the ownership model. `owner`, `task` and `server` are indexes into the state.
 *
 * - `tick`: time passes by one tick
 * - `take-over`: another instance becomes the owner
 * - `learn-of-takeover`: an owner that was replaced learns of it
 * - `place`: an owner decides to run a task on a backend server
 * - `complete-append`: an append in flight is carried out or fenced
 * - `start`, `stop`: an owner sends an order
 * - `deliver`: a message in flight arrives
 * - `give-up`: an owner stops waiting for an answer; the message may still arrive
 * - `list`: a backend server answers a listing request, which also renews its leases
 * - `renew-late`: an owner sends a renewal that gets no answer
 * - `read-listing`: an owner reads the answer to its listing request
 * - `declare-lost`: an owner declares all tasks on a backend server lost
 * - `finish`: a run ends by itself
 * - `restart`: a backend server restarts with a new incarnation
 */
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
