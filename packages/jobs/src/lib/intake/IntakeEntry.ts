import type { Job, JobId } from '@mastichead/core'
import type { IntakeStream } from '../ports/IntakeStream.js'
import type { CancellationScope } from './CancellationScope.js'

interface EntryPosition {
	readonly id: JobId
	readonly key: string
	readonly stream: IntakeStream
	readonly offset: number
	/** Whether an earlier version wrote it, to any stream and under one key for all submissions of the id. */
	readonly isEarlierForm: boolean
}

/**
 * A record of a caller about an id, as read from an intake stream.
 *
 * @public
 */
export type IntakeEntry =
	| (EntryPosition & { readonly kind: 'submission'; readonly job: Job })
	| (EntryPosition & { readonly kind: 'cancellation'; readonly scope: CancellationScope })
