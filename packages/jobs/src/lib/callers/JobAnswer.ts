import type { JobState } from '@mastichead/core'

/**
 * Answer to a caller's request about a job.
 *
 * - `id-taken`: a job of another team or queue has the id, and nothing was accepted
 * - `barred`: the team cancelled the id before its submission, and nothing was accepted
 * - `refused`: the job was not accepted and will not run because of this request
 * - `unclear`: the write was not confirmed and may still take effect
 * - `unavailable`: the log is unreachable or not loaded yet, so the state is unknown or nothing was
 *   written
 *
 * @public
 */
export type JobAnswer =
	| { readonly kind: 'accepted' | 'cancelled' | 'unknown-job' | 'id-taken' }
	| { readonly kind: 'state'; readonly state: JobState }
	| { readonly kind: 'waiting'; readonly count: number }
	| {
			readonly kind: 'refused' | 'unavailable' | 'barred'
			readonly reason: string
			/** Seconds after which a retry makes sense. */
			readonly retryAfterSeconds: number
	  }
	| { readonly kind: 'unclear'; readonly reason: string }
