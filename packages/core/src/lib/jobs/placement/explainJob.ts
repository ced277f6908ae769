import type { BackendTable } from '../BackendTable.js'
import type { FleetConfiguration } from '../FleetConfiguration.js'
import type { JobRow } from '../JobRow.js'
import type { ReadyStep } from './ReadyStep.js'
import type { StepExplanation } from './StepExplanation.js'
import type { TaskRow } from '../TaskRow.js'
import { exceedsTeamLimit } from './exceedsTeamLimit.js'
import { fitsWithin } from './fitsWithin.js'
import { getBackendAvailability } from '../health/getBackendAvailability.js'
import { getHostRefusal } from './getHostRefusal.js'
import { getQueueRules } from '../getQueueRules.js'
import { getReservedResources } from './getReservedResources.js'
import { getReadySteps } from './getReadySteps.js'
import { noResources } from '../noResources.js'

/**
 * Explains, for each step of a job, the state of its tasks and why waiting tasks are not placed. Reads
 * the tables that the planner works on.
 *
 * @param options.now - time on the owner's monotonic clock, in milliseconds
 * @param options.wallTime - milliseconds since 1970
 * @public
 */
export function explainJob(
	row: JobRow,
	options: {
		readonly backends: BackendTable
		readonly configuration: FleetConfiguration
		readonly now: number
		readonly wallTime: number
	}
): StepExplanation[] {
	const { now, wallTime } = options
	const readyKeys = new Set(
		getReadySteps(row, now, wallTime).map(
			(readyStep) => `${readyStep.occurrence}.${readyStep.stepNumber}`
		)
	)
	const explanations: StepExplanation[] = []
	for (const [key, tasks] of groupBySteps(row.tasks)) {
		const [first] = tasks
		if (!first) continue
		const countInPhase = (phase: TaskRow['phase']): number =>
			tasks.filter((task) => task.phase === phase).length
		const waiting = countInPhase('pending')
		const getReason = (): StepExplanation['reason'] =>
			readyKeys.has(key)
				? explainNotPlaced(row, { step: first.step, members: tasks }, options)
				: explainNotReady(row, first, options)
		explanations.push({
			step: first.stepNumber,
			occurrence: first.occurrence,
			waiting,
			placed: countInPhase('placed'),
			done: countInPhase('done'),
			ended: countInPhase('failed') + countInPhase('dropped'),
			reason: waiting > 0 ? getReason() : undefined,
		})
	}
	return explanations
}

function groupBySteps(tasks: readonly TaskRow[]): Map<string, TaskRow[]> {
	const groups = new Map<string, TaskRow[]>()
	for (const task of tasks) {
		const key = `${task.occurrence}.${task.stepNumber}`
		const group = groups.get(key)
		if (group) group.push(task)
		else groups.set(key, [task])
	}
	return groups
}

/** Explains why a step is not ready. */
function explainNotReady(
	{ job, tasks }: JobRow,
	{ step, occurrence }: TaskRow,
	{ wallTime }: { readonly wallTime: number }
): 'not-due' | 'dependency' | 'pausing' {
	if (job.times > 0 && job.startAt + occurrence * job.interval > wallTime) return 'not-due'
	const isBlocked = tasks.some(
		(task) =>
			task.occurrence === occurrence &&
			step.dependsOn.includes(task.stepNumber) &&
			task.phase !== 'done'
	)
	return isBlocked ? 'dependency' : 'pausing'
}

/** Explains why a ready step is not placed. */
function explainNotPlaced(
	{ job }: JobRow,
	readyStep: Pick<ReadyStep, 'step' | 'members'>,
	options: {
		readonly backends: BackendTable
		readonly configuration: FleetConfiguration
		readonly now: number
	}
): 'team-limit' | 'no-backend' | 'too-large' | 'no-room' | 'probation' | 'order' {
	const { backends, configuration, now } = options
	const { step } = readyStep
	const used = backends.getTeamUsage(job.team)
	if (exceedsTeamLimit(configuration.teams.get(job.team), used, step.needs)) return 'team-limit'
	const service = getQueueRules(job, configuration)?.service
	const usable = [...backends.all].filter(
		(backend) => backend.service === service && getBackendAvailability(backend, now) === 'usable'
	)
	if (usable.length === 0) return 'no-backend'
	const needs = getReservedResources(step)
	const suitable = usable.filter(
		({ labels, capacity }) =>
			(step.requiredLabel === '' || labels.includes(step.requiredLabel)) &&
			fitsWithin(needs, noResources, capacity)
	)
	if (suitable.length === 0) return 'too-large'
	const isOpen = suitable.some((backend) => getHostRefusal(readyStep, backend) === undefined)
	if (!isOpen) return 'no-room'
	const isSuspect = ({ phase, isSuspected }: TaskRow): boolean => phase === 'pending' && isSuspected
	return readyStep.members.some(isSuspect) ? 'probation' : 'order'
}
