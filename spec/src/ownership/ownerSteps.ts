import type { End } from './End.js'
import type { OwnedTask } from './OwnedTask.js'
import type { OwnerState } from './OwnerState.js'
import type { OwnershipMistake } from './OwnershipMistake.js'
import { replaceAt } from './replaceAt.js'
import type { Stage } from './Stage.js'
import type { TaskView } from './TaskView.js'
import { ticks } from './ticks.js'

/**
 * What an owner decides, as `packages/jobs/src/lib/owner` does.
 */
export const ownerSteps = {
	/** Begins a term with what the log holds. */
	create(options: {
		readonly term: number
		readonly token: number
		readonly now: number
		readonly servers: number
		readonly tasks: readonly TaskView[]
		readonly mistake: OwnershipMistake | undefined
	}): OwnerState {
		const { term, token, now, servers, tasks, mistake } = options
		const wait = mistake === 'earlier-leases-ignored' ? 0 : getEarlierLeases()
		return {
			term,
			token,
			alive: true,
			contact: now,
			version: 0,
			saved: 0,
			calls: 0,
			append: undefined,
			tasks: tasks.map((view) => ({ view, stage: 'inherited', version: 0, orderedAt: -1 })),
			leasedUntil: Array.from({ length: servers }, () => now + wait),
			incarnations: Array.from({ length: servers }, () => 0),
			ends: [],
			listing: undefined,
		}
	},

	place(owner: OwnerState, task: number, server: number): OwnerState {
		const attempt = (owner.tasks[task]?.view.attempt ?? 0) + 1
		return decide(owner, task, { phase: 'placed', server, attempt }, 'recorded')
	},

	/** The run of a task has ended, or never began. */
	endRun(owner: OwnerState, task: number, how: End['how'] | 'lost'): OwnerState {
		const known = owner.tasks[task]
		if (!known) return owner
		const phase = how === 'done' ? 'done' : 'waiting'
		return decide(owner, task, { ...known.view, phase }, 'recorded')
	},

	/** Notes an order that is sent or answered: listings asked for before say nothing about it. */
	setStage(owner: OwnerState, task: number, stage: Stage): OwnerState {
		const known = owner.tasks[task]
		if (!known) return owner
		const next = { ...known, stage, orderedAt: owner.calls }
		return { ...owner, tasks: replaceAt(owner.tasks, task, next) }
	},

	/** Notes that an order is sent which prolongs the leases on its backend server. */
	noteLease(
		owner: OwnerState,
		server: number,
		now: number,
		mistake: OwnershipMistake | undefined
	): OwnerState {
		const error = mistake === 'slow-clock-ignored' ? 0 : ticks.clockError
		const end = Math.max(owner.leasedUntil[server] ?? 0, now + ticks.lease + error)
		return { ...owner, leasedUntil: replaceAt(owner.leasedUntil, server, end) }
	},

	/** Loses everything that is placed on a backend server. */
	loseAll(owner: OwnerState, server: number): OwnerState {
		const lost = owner.tasks.flatMap(({ view }, task) => (isAt(view, server) ? [task] : []))
		return lost.reduce((at, task) => ownerSteps.endRun(at, task, 'lost'), owner)
	},

	/** Takes in the listing that has come. Unwanted runs are given back. */
	read(
		owner: OwnerState,
		mistake: OwnershipMistake | undefined
	): { readonly owner: OwnerState; readonly unwanted: (readonly [number, number])[] } {
		const { listing } = owner
		if (!listing) return { owner, unwanted: [] }
		const { server, incarnation } = listing
		let next: OwnerState = { ...owner, listing: undefined }
		const known = owner.incarnations[server]
		if (known !== incarnation) {
			if (known !== 0) next = ownerSteps.loseAll(next, server)
			const incarnations = replaceAt(next.incarnations, server, incarnation)
			next = { ...next, incarnations, ends: next.ends.filter((end) => end.server !== server) }
		}
		const unwanted: (readonly [number, number])[] = []
		for (const run of listing.running) {
			const task = next.tasks[run[0]]
			if (!task || !isAt(task.view, server) || task.view.attempt !== run[1]) unwanted.push(run)
			else if (task.stage !== 'barred') {
				const tasks = replaceAt(next.tasks, run[0], { ...task, stage: 'confirmed' as const })
				next = { ...next, tasks }
			}
		}
		for (const end of listing.ended) next = noteEnd(next, server, end, mistake)
		for (const [place, task] of next.tasks.entries()) {
			if (!isAt(task.view, server) || listing.running.some((run) => run[0] === place)) continue
			next = noteMissing(next, place, task, { sentAt: listing.sentAt, mistake })
		}
		return { owner: next, unwanted }
	},

	/** An owner that has ended keeps nothing but the append that is under way. */
	die(owner: OwnerState): OwnerState {
		const { term, token, append } = owner
		const nothing = { version: 0, saved: 0, calls: 0, contact: 0, listing: undefined }
		const lists = { tasks: [], leasedUntil: [], incarnations: [], ends: [] }
		return { term, token, alive: false, append, ...nothing, ...lists }
	},

	/** One append is under way as long as there is something to be made durable. */
	flush(owner: OwnerState): OwnerState {
		const { alive, version, saved, append } = owner
		if (!alive || append || version === saved) return owner
		return { ...owner, append: { version, tasks: owner.tasks.map(({ view }) => view) } }
	},

	isAt,
}

/** Ticks after a takeover by which every lease of earlier owners has run out. */
function getEarlierLeases(): number {
	return ticks.ownerSilence + ticks.lease + ticks.clockError
}

function isAt(view: TaskView, server: number): boolean {
	return view.phase === 'placed' && view.server === server
}

function decide(owner: OwnerState, task: number, view: TaskView, stage: Stage): OwnerState {
	const version = owner.version + 1
	const next: OwnedTask = { view, stage, version, orderedAt: owner.calls }
	return { ...owner, version, tasks: replaceAt(owner.tasks, task, next) }
}

function noteEnd(
	owner: OwnerState,
	server: number,
	end: End,
	mistake: OwnershipMistake | undefined
): OwnerState {
	const isKnown = owner.ends.some(
		(known) =>
			known.server === server && known.end.task === end.task && known.end.attempt === end.attempt
	)
	if (isKnown) return owner
	const view = owner.tasks[end.task]?.view
	const isCurrent = view && isAt(view, server) && view.attempt === end.attempt
	const isTaken = mistake === 'attempt-ignored' ? view?.phase === 'placed' : isCurrent
	const next = isTaken ? ownerSteps.endRun(owner, end.task, end.how) : owner
	return { ...next, ends: [...next.ends, { server, end, version: next.version }] }
}

function noteMissing(
	owner: OwnerState,
	place: number,
	task: OwnedTask,
	{ sentAt, mistake }: { sentAt: number; mistake: OwnershipMistake | undefined }
): OwnerState {
	if (mistake !== 'listing-older-than-order-counts' && task.orderedAt >= sentAt) return owner
	switch (task.stage) {
		case 'recorded':
		case 'sent':
			return owner
		case 'unclear':
			return mistake === 'unclear-start-forgotten' ? ownerSteps.endRun(owner, place, 'lost') : owner
		case 'confirmed':
		case 'barred':
		case 'inherited':
			return ownerSteps.endRun(owner, place, 'lost')
	}
}
