/**
 * Bugs that can be seeded into the submission model. The search must find each of them.
 *
 * - `answered-unread`: a call is answered before what came before its record has been read
 * - `one-key`: all submissions of the id have one key, so that a start sees the newest alone
 * - `any-stream`: each instance writes to a stream of its own
 * - `oldest-first`: the records are deleted in the order in which they were written
 * - `order-ignored`: a cancellation without a job does not bar the submissions after it
 */
export type SubmissionBug =
	'answered-unread' | 'one-key' | 'any-stream' | 'oldest-first' | 'order-ignored'
