import type { Job } from '@mastichead/core'
import { mayReachJob } from '../callers/mayReachJob.js'
import type { CancellationScope } from './CancellationScope.js'

/**
 * Whether a cancellation of a job's id ends the job.
 *
 * @internal
 */
export function isInScope(job: Job, scope: CancellationScope): boolean {
	switch (scope.kind) {
		case 'everyone':
			return true
		case 'team':
			return job.team === scope.team
		case 'caller':
			return mayReachJob(job, scope.caller)
	}
}
