/**
 * Actions of the lease model. `instance` and `index` are indexes into the state.
 *
 * - `tick`: time passes by one tick
 * - `acquire`: an instance begins a term; its fence is in the log
 * - `read`: a process reads the log to its end
 * - `append`: an owner sends a record to the log
 * - `write`, `write-late`: the log carries out an append, for which an owner or no one waits
 * - `acknowledge`: an owner learns that its record is durable
 * - `order`: an owner starts the task on the server or renews its lease
 * - `deliver`: an order arrives at the server
 * - `list`: the server lists its runs to an owner
 * - `leave-term`: a process ends its term, for example because it learns that it was replaced
 * - `end`: a process sends the record that a term has ended
 * - `restart`: a process is killed and a new one begins on its instance
 * - `start-elsewhere`: an owner starts the task on another server
 */
export type LeaseAction =
	| { readonly kind: 'tick' }
	| { readonly kind: 'acquire'; readonly instance: number }
	| { readonly kind: 'read'; readonly instance: number }
	| {
			readonly kind: 'append'
			readonly instance: number
			readonly record: 'term' | 'lost' | 'renewed'
	  }
	| { readonly kind: 'write'; readonly instance: number }
	| { readonly kind: 'write-late'; readonly index: number }
	| { readonly kind: 'acknowledge'; readonly instance: number }
	| { readonly kind: 'order'; readonly instance: number }
	| { readonly kind: 'deliver'; readonly index: number }
	| { readonly kind: 'list'; readonly instance: number }
	| { readonly kind: 'leave-term'; readonly instance: number }
	| { readonly kind: 'end'; readonly instance: number; readonly token: number }
	| { readonly kind: 'restart'; readonly instance: number }
	| { readonly kind: 'start-elsewhere'; readonly instance: number }
