import type { JobReport, StepExplanation } from '@mastichead/core'
import type { ServerFailure } from '../client/ServerFailure.js'

const MILLISECONDS_PER_SECOND = 1_000

const REASON_TEXTS: Readonly<Record<NonNullable<StepExplanation['reason']>, string>> = {
	'not-due': 'its time has not come',
	dependency: 'an earlier step is unfinished',
	pausing: 'an order was refused or a run failed just now',
	'team-limit': 'the team has as much running as it may',
	'no-backend': 'its pool has no usable backend server',
	'too-large': 'no usable backend server could take a task, even an empty one',
	'no-room': 'every backend server that could take a task is full',
	probation: 'a task may have crashed a backend server, and is started apart from other jobs',
	order: 'there is room; other work goes first',
}

/**
 * Formats the report on a job as text.
 *
 * @internal
 */
export function formatJobReport(report: JobReport, failures: readonly ServerFailure[]): string {
	const unanswered = failures.map(({ server, reason }) => `! no answer from ${server}: ${reason}\n`)
	const { job, queue, team, state, age, configuration, owner, steps } = report
	const seconds = (age / MILLISECONDS_PER_SECOND).toFixed(1)
	return [
		`job ${job} of queue ${queue}, team ${team === '' ? '(none)' : team}: ${state ?? 'unknown'}\n`,
		`accepted ${seconds} s ago; configuration ${configuration}\n`,
		...steps.map(formatStep),
		...(owner ? [] : ['! the owner did not answer, so nothing is known of steps\n']),
		...unanswered,
	].join('')
}

function formatStep(row: StepExplanation): string {
	const { step, occurrence, waiting, placed, done, ended, reason } = row
	const counts = `${waiting} waiting, ${placed} placed, ${done} done, ${ended} given up`
	const reasonText = reason === undefined ? '' : `; waits: ${REASON_TEXTS[reason]}`
	return `step ${step}, occurrence ${occurrence}: ${counts}${reasonText}\n`
}
