import type { BackendRow } from '@mastichead/core'
import type { OwnerContext } from '../owner/OwnerContext.js'
import type { Machine } from '../ports/Machine.js'
import type { MachineController } from '../ports/MachineController.js'

/**
 * An owner that has just begun gives no order for a machine for which an earlier one may just have
 * given one, in milliseconds.
 */
const TAKEOVER_DELAY = 3_100
/** Difference allowed between the clocks of an instance and of a backend server. */
const CLOCK_TOLERANCE = 1_000
const MILLICORES = 1_000
/** Time after an order until a list is sure to show it, in milliseconds. */
const LIST_DELAY = 300
/** Age at which the list of machines is read again, in milliseconds. */
const MAXIMUM_LIST_AGE = 1_500

/**
 * What is known of machines: the platform's list, and the registrations of what runs on them.
 *
 * @public
 */
export class MachineInventory {
	private machines = new Map<string, Machine>()
	/** Instant at which the list was asked for; -Infinity before the first. */
	listedAt = -Infinity

	private readonly termStartedAt: number
	private readonly recentChanges = new Map<
		string,
		{ readonly machine: Machine; readonly at: number }
	>()

	constructor(
		private readonly context: OwnerContext,
		private readonly controller: MachineController
	) {
		this.termStartedAt = context.timers.now()
	}

	/** Reads the list if it has aged. Resolves to whether there is one. */
	async refresh(maximumAge = MAXIMUM_LIST_AGE): Promise<boolean> {
		const { timers, events } = this.context
		const askedAt = timers.now()
		if (askedAt - this.listedAt < maximumAge) return true
		const machines = await this.controller.list()
		if (!machines) {
			events.warn('machines-unreadable', { age: askedAt - this.listedAt })
			return this.machines.size > 0
		}
		const known = this.machines.size
		this.machines = new Map(
			machines.map((machine) => [machine.id, this.getRecentChange(machine.id, askedAt) ?? machine])
		)
		this.listedAt = askedAt
		if (machines.length !== known) events.info('machines-listed', countByServiceAndState(machines))
		return true
	}

	get(id: string): Machine | undefined {
		return this.machines.get(id)
	}

	get all(): Iterable<Machine> {
		return this.machines.values()
	}

	/** Cores of a typical machine, whichever pool it is in; 0 if none is known. */
	getMedianCores(): number {
		const cores = [...this.machines.values()].map(({ capacity }) => capacity.cpu / MILLICORES)
		cores.sort((a, b) => a - b)
		return cores[Math.floor(cores.length / 2)] ?? 0
	}

	/**
	 * Backend server on a machine: the registered one, else one that still has tasks. A server can
	 * lose its registration and run on.
	 */
	getBackend(machine: string): BackendRow | undefined {
		let unregistered: BackendRow | undefined
		for (const row of this.context.backends.all) {
			if (row.machine !== machine) continue
			if (row.registered) return row
			if (row.tasks.size > 0) unregistered = row
		}
		return unregistered
	}

	/**
	 * Whether no earlier owner can just have given an order for the machine: its server would have
	 * started since.
	 */
	isSafeToOrder(machine: string): boolean {
		const { timers, getWallTime } = this.context
		if (timers.now() - this.termStartedAt > TAKEOVER_DELAY) return true
		const backend = this.getBackend(machine)
		if (!backend || backend.incarnation === 0) return false
		return getWallTime() - backend.incarnation > TAKEOVER_DELAY + CLOCK_TOLERANCE
	}

	/** Takes note of an order that the list does not show yet. */
	recordStateChange(id: string, change: Partial<Pick<Machine, 'state' | 'service'>>): void {
		const machine = this.machines.get(id)
		if (!machine) return
		const changed = { ...machine, ...change }
		this.machines.set(id, changed)
		this.recentChanges.set(id, { machine: changed, at: this.context.timers.now() })
	}

	/** State after an order that a list asked for at `askedAt` may not show yet. */
	private getRecentChange(id: string, askedAt: number): Machine | undefined {
		const change = this.recentChanges.get(id)
		if (!change) return undefined
		if (change.at + LIST_DELAY > askedAt) return change.machine
		this.recentChanges.delete(id)
		return undefined
	}
}

function countByServiceAndState(machines: readonly Machine[]): Record<string, number> {
	const counts: Record<string, number> = {}
	for (const { service, state } of machines) {
		const key = `${service} ${state}`
		counts[key] = (counts[key] ?? 0) + 1
	}
	return counts
}
