import type { SubmissionModel } from './SubmissionModel.js'

const submit = (team: string) => ({ kind: 'submission' as const, team })
const cancel = (team: string) => ({ kind: 'cancellation' as const, team })

/**
 * Bounds within which the submission model is searched, by the calls about the id.
 *
 * @internal
 */
export const submissionSearches = {
	'two teams': { calls: [submit('a'), submit('b')], instances: 2, restarts: 1 },
	'a repeated submission': {
		calls: [submit('a'), submit('b'), submit('a')],
		instances: 2,
		restarts: 0,
	},
	'a cancellation': { calls: [submit('a'), cancel('a')], instances: 2, restarts: 1 },
	'a cancellation and two teams': {
		calls: [submit('a'), cancel('a'), submit('b')],
		instances: 2,
		restarts: 0,
	},
} satisfies Record<string, ConstructorParameters<typeof SubmissionModel>[0]>
