import type { JobState } from '@mastichead/core'

/**
 * Answer to a caller's request about a job. `refused`: the job was not taken and never runs by
 * this request; `unclear`: it may have been taken; `unavailable`: the state cannot be told now.
 *
 * @public
 */
export type JobAnswer =
	| { readonly kind: 'accepted' | 'cancelled' | 'unknown-job' }
	| { readonly kind: 'state'; readonly state: JobState }
	| { readonly kind: 'waiting'; readonly count: number }
	| {
			readonly kind: 'refused' | 'unavailable'
			readonly reason: string
			/** Seconds after which another try makes sense. */
			readonly retryAfter: number
	  }
	| { readonly kind: 'unclear'; readonly reason: string }
