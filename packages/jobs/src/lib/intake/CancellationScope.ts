import type { JobCaller } from '../callers/JobCaller.js'

/**
 * Whose jobs a cancellation ends. Records of earlier versions name a team, or nobody in particular.
 *
 * @public
 */
export type CancellationScope =
	| { readonly kind: 'everyone' }
	| { readonly kind: 'team'; readonly team: string }
	| { readonly kind: 'caller'; readonly caller: JobCaller }
