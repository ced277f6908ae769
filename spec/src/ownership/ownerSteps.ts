import type { RunEnd } from './RunEnd.js'
import type { OwnedTask } from './OwnedTask.js'
import type { OwnerState } from './OwnerState.js'
import type { OwnershipBug } from './OwnershipBug.js'
import { replaceAt } from '../replaceAt.js'
import type { StartOrderState } from './StartOrderState.js'
import type { TaskStatus } from './TaskStatus.js'
import { ticks } from './ticks.js'

/**
 * Behaviour of an owner, as implemented in `packages/jobs/src/lib/owner`.
 */
export const ownerSteps = {
	/** Starts a term with the tasks that the log has. */
	create(options: {
		readonly term: number
		readonly token: number
		readonly now: number
		readonly servers: number
		readonly tasks: readonly TaskStatus[]
		readonly bug: OwnershipBug | undefined
	}): OwnerState {
		const { term, token, now, servers, tasks, bug } = options
		const inheritedLeaseTicks = bug === 'earlier-leases-ignored' ? 0 : getInheritedLeaseTicks()
		return {
			term,
			token,
			isActive: true,
			logAnsweredAt: now,
			version: 0,
			durableVersion: 0,
			listingCount: 0,
			append: undefined,
			tasks: tasks.map((status) => ({
				status,
				orderState: 'inherited',
				version: 0,
				orderStateChangedAt: -1,
			})),
			leasedUntil: Array.from({ length: servers }, () => now + inheritedLeaseTicks),
			incarnations: Array.from({ length: servers }, () => 0),
			ends: [],
			listing: undefined,
		}
	},

	place(owner: OwnerState, task: number, server: number): OwnerState {
		const attempt = (owner.tasks[task]?.status.attempt ?? 0) + 1
		return recordDecision(owner, task, { phase: 'placed', server, attempt }, 'recorded')
	},

	/** Records that the run of a task has ended or never started. */
	endRun(owner: OwnerState, task: number, outcome: RunEnd['outcome'] | 'lost'): OwnerState {
		const known = owner.tasks[task]
		if (!known) return owner
		const phase = outcome === 'done' ? 'done' : 'waiting'
		return recordDecision(owner, task, { ...known.status, phase }, 'recorded')
	},

	/** Records that an order was sent or answered. Earlier listing requests say nothing about it. */
	setOrderState(owner: OwnerState, task: number, orderState: StartOrderState): OwnerState {
		const known = owner.tasks[task]
		if (!known) return owner
		const next = { ...known, orderState, orderStateChangedAt: owner.listingCount }
		return { ...owner, tasks: replaceAt(owner.tasks, task, next) }
	},

	/** Records that a message was sent that may extend the leases on its backend server. */
	recordLease(
		owner: OwnerState,
		server: number,
		now: number,
		bug: OwnershipBug | undefined
	): OwnerState {
		const drift = bug === 'slow-clock-ignored' ? 0 : ticks.clockDrift
		const end = Math.max(owner.leasedUntil[server] ?? 0, now + ticks.lease + drift)
		return { ...owner, leasedUntil: replaceAt(owner.leasedUntil, server, end) }
	},

	/** Declares every task placed on a backend server lost. */
	loseTasks(owner: OwnerState, server: number): OwnerState {
		const lost = owner.tasks.flatMap(({ status }, task) => (isAt(status, server) ? [task] : []))
		return lost.reduce((at, task) => ownerSteps.endRun(at, task, 'lost'), owner)
	},

	/** Reads the pending listing. `unwanted` are the runs, as task and attempt, to be stopped. */
	readListing(
		owner: OwnerState,
		bug: OwnershipBug | undefined
	): { readonly owner: OwnerState; readonly unwanted: (readonly [number, number])[] } {
		const { listing } = owner
		if (!listing) return { owner, unwanted: [] }
		const { server, incarnation } = listing
		let next: OwnerState = { ...owner, listing: undefined }
		const known = owner.incarnations[server]
		if (known !== incarnation) {
			if (known !== 0) next = ownerSteps.loseTasks(next, server)
			const incarnations = replaceAt(next.incarnations, server, incarnation)
			next = { ...next, incarnations, ends: next.ends.filter((end) => end.server !== server) }
		}
		const unwanted: (readonly [number, number])[] = []
		for (const run of listing.running) {
			const task = next.tasks[run[0]]
			if (!task || !isAt(task.status, server) || task.status.attempt !== run[1]) unwanted.push(run)
			else if (task.orderState !== 'barred') {
				const tasks = replaceAt(next.tasks, run[0], { ...task, orderState: 'confirmed' as const })
				next = { ...next, tasks }
			}
		}
		for (const end of listing.ended) next = recordEnd(next, server, end, bug)
		for (const [taskIndex, task] of next.tasks.entries()) {
			if (!isAt(task.status, server) || listing.running.some((run) => run[0] === taskIndex))
				continue
			next = handleMissingRun(next, taskIndex, task, { sequence: listing.sequence, bug })
		}
		return { owner: next, unwanted }
	},

	/** Ends the term of an owner. Only its append in flight can still have an effect. */
	endTerm(owner: OwnerState): OwnerState {
		const { term, token, append } = owner
		const emptyFields = {
			version: 0,
			durableVersion: 0,
			listingCount: 0,
			logAnsweredAt: 0,
			listing: undefined,
		}
		const emptyLists = { tasks: [], leasedUntil: [], incarnations: [], ends: [] }
		return { term, token, isActive: false, append, ...emptyFields, ...emptyLists }
	},

	/** Starts an append if decisions are not durable yet and none is in flight. */
	flush(owner: OwnerState): OwnerState {
		const { isActive, version, durableVersion, append } = owner
		if (!isActive || append || version === durableVersion) return owner
		return { ...owner, append: { version, tasks: owner.tasks.map(({ status }) => status) } }
	},

	isAt,
}

/** Returns the ticks after a takeover by which every lease of earlier owners has expired. */
function getInheritedLeaseTicks(): number {
	return ticks.maximumOwnerSilence + ticks.lease + ticks.clockDrift
}

function isAt(status: TaskStatus, server: number): boolean {
	return status.phase === 'placed' && status.server === server
}

/** Records a decision on a task, which must become durable before an order is sent. */
function recordDecision(
	owner: OwnerState,
	task: number,
	status: TaskStatus,
	orderState: StartOrderState
): OwnerState {
	const version = owner.version + 1
	const next: OwnedTask = { status, orderState, version, orderStateChangedAt: owner.listingCount }
	return { ...owner, version, tasks: replaceAt(owner.tasks, task, next) }
}

function recordEnd(
	owner: OwnerState,
	server: number,
	end: RunEnd,
	bug: OwnershipBug | undefined
): OwnerState {
	const isKnown = owner.ends.some(
		(known) =>
			known.server === server && known.end.task === end.task && known.end.attempt === end.attempt
	)
	if (isKnown) return owner
	const status = owner.tasks[end.task]?.status
	const isCurrent = status && isAt(status, server) && status.attempt === end.attempt
	const endsRun = bug === 'attempt-ignored' ? status?.phase === 'placed' : isCurrent
	const next = endsRun ? ownerSteps.endRun(owner, end.task, end.outcome) : owner
	return { ...next, ends: [...next.ends, { server, end, version: next.version }] }
}

/** Handles a placed task that a listing does not show as running. */
function handleMissingRun(
	owner: OwnerState,
	taskIndex: number,
	task: OwnedTask,
	{ sequence, bug }: { sequence: number; bug: OwnershipBug | undefined }
): OwnerState {
	if (bug !== 'outdated-listing-trusted' && task.orderStateChangedAt >= sequence) return owner
	switch (task.orderState) {
		case 'recorded':
		case 'sent':
			return owner
		case 'unclear':
			return bug === 'unclear-start-forgotten' ? ownerSteps.endRun(owner, taskIndex, 'lost') : owner
		case 'confirmed':
		case 'barred':
		case 'inherited':
			return ownerSteps.endRun(owner, taskIndex, 'lost')
	}
}
