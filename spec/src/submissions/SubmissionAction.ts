/**
 * Actions of the submission model.
 *
 * - `send`: a caller makes its call at an instance, which answers at once if what it has read decides
 * - `append`: the log carries out the append of a call, perhaps after the caller has given up
 * - `read`: an instance reads the next record of a stream
 * - `answer`: an instance answers a call whose record is stored
 * - `give-up`: a caller gets no answer, and the log may still carry the append out
 * - `restart`: an instance starts again, and loads the newest record of each key
 * - `start`: an instance, as the owner, starts the job that it knows
 * - `forget`: all records are deleted with one append, after the last call
 */
export type SubmissionAction =
	| { readonly kind: 'send'; readonly call: number; readonly instance: number }
	| { readonly kind: 'append' | 'answer' | 'give-up'; readonly call: number }
	| { readonly kind: 'read'; readonly instance: number; readonly stream: number }
	| { readonly kind: 'restart' | 'start'; readonly instance: number }
	| { readonly kind: 'forget' }
