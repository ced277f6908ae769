import type { BackendRow } from '@mastichead/core'
import { hasRuns } from '@mastichead/core'
import type { OwnerContext } from '../owner/terms/OwnerContext.js'
import type { Machine } from '../ports/Machine.js'
import type { MachineController } from '../ports/MachineController.js'

const MILLICORES_PER_CORE = 1_000
/** Time after which the platform's list reflects an order, in milliseconds. */
const LIST_DELAY = 300
/** Age at which the list of machines is refreshed, in milliseconds. */
const MAXIMUM_LIST_AGE = 1_500

/**
 * Tracks the machines: the platform's list, recent orders, and the backend servers on each machine.
 *
 * @public
 */
export class MachineInventory {
	private machines = new Map<string, Machine>()
	/** Moves that are under way, by machine, and when each became known to this term. */
	private readonly moves = new Map<string, { readonly service: string; readonly since: number }>()
	/** Monotonic instant at which the current list was requested; -Infinity before the first one. */
	listedAt = -Infinity

	/** Expected states of machines after recent orders, with the instant of each order. */
	private readonly recentChanges = new Map<
		string,
		{ readonly machine: Machine; readonly at: number }
	>()

	constructor(
		private readonly context: OwnerContext,
		private readonly controller: MachineController
	) {}

	/** Refreshes the list if it is older than `maximumAge`. Resolves to whether there is a list. */
	async refresh(maximumAge = MAXIMUM_LIST_AGE): Promise<boolean> {
		const { timers, events } = this.context
		const requestedAt = timers.now()
		if (requestedAt - this.listedAt < maximumAge) return true
		const machines = await this.controller.list()
		if (!machines) {
			events.warn('machines-unreadable', { age: requestedAt - this.listedAt })
			return this.machines.size > 0
		}
		const previousCount = this.machines.size
		this.machines = new Map(
			machines.map((machine) => [
				machine.id,
				this.getRecentChange(machine.id, requestedAt) ?? machine,
			])
		)
		this.listedAt = requestedAt
		for (const id of [...this.moves.keys()]) if (!this.machines.has(id)) this.moves.delete(id)
		for (const machine of this.machines.values()) this.trackMove(machine, requestedAt)
		if (machines.length !== previousCount)
			events.info('machines-listed', countByServiceAndState(machines))
		return true
	}

	get(id: string): Machine | undefined {
		return this.machines.get(id)
	}

	get all(): Iterable<Machine> {
		return this.machines.values()
	}

	/** Returns the median number of cores per machine over all pools; 0 if no machine is known. */
	getMedianCores(): number {
		const cores = [...this.machines.values()].map(
			({ capacity }) => capacity.cpu / MILLICORES_PER_CORE
		)
		cores.sort((a, b) => a - b)
		return cores[Math.floor(cores.length / 2)] ?? 0
	}

	/**
	 * Returns the backend server on a machine: a registered one, or else one that still has tasks, since
	 * a server can lose its registration and keep running. A server that has left may stay registered
	 * beside its successor for seconds; the one that answers is preferred, then the one that the
	 * platform names.
	 */
	getBackend(machine: string): BackendRow | undefined {
		const { all } = this.context.backends
		return this.selectBackends([...all].filter((row) => row.machine === machine)).get(machine)
	}

	/** Returns the backend server on each machine, as `getBackend` does. */
	getBackends(): ReadonlyMap<string, BackendRow> {
		return this.selectBackends(this.context.backends.all)
	}

	/**
	 * Counts the machines that are on the way to a service's pool, according to the platform.
	 *
	 * @param maximumAge - time since the move became known after which it is no longer expected to
	 * succeed, in milliseconds
	 */
	countMoving(
		service: string,
		maximumAge: number,
		isCounted: (machine: string) => boolean
	): number {
		const now = this.context.timers.now()
		let count = 0
		for (const machine of this.machines.values()) {
			if (machine.service !== service || machine.state !== 'moving') continue
			if (now - (this.moves.get(machine.id)?.since ?? now) > maximumAge) continue
			if (isCounted(machine.id) && !this.getBackend(machine.id)?.registered) count += 1
		}
		return count
	}

	/** Records the effect of an order until the list reflects it. */
	recordStateChange(id: string, change: Partial<Pick<Machine, 'state' | 'service'>>): void {
		const machine = this.machines.get(id)
		if (!machine) return
		const changed = { ...machine, ...change }
		this.machines.set(id, changed)
		this.recentChanges.set(id, { machine: changed, at: this.context.timers.now() })
		this.trackMove(changed, this.context.timers.now())
	}

	private trackMove({ id, service, state }: Machine, now: number): void {
		if (state !== 'moving') this.moves.delete(id)
		else if (this.moves.get(id)?.service !== service) this.moves.set(id, { service, since: now })
	}

	/** Selects the backend server on each machine. */
	private selectBackends(rows: Iterable<BackendRow>): Map<string, BackendRow> {
		const selected = new Map<string, BackendRow>()
		for (const row of rows) {
			const current = selected.get(row.machine)
			if (this.getEvidence(row) > (current ? this.getEvidence(current) : 0))
				selected.set(row.machine, row)
		}
		return selected
	}

	/** Returns how much shows that a row is the backend server on its machine; 0 for nothing. */
	private getEvidence(row: BackendRow): number {
		if (!row.registered) return hasRuns(row) ? 1 : 0
		if (row.reconciled && row.reachable) return 4
		return this.machines.get(row.machine)?.backend === row.id ? 3 : 2
	}

	/** Returns the state after an order that a list requested at `requestedAt` may still lack. */
	private getRecentChange(id: string, requestedAt: number): Machine | undefined {
		const change = this.recentChanges.get(id)
		if (!change) return undefined
		if (change.at + LIST_DELAY > requestedAt) return change.machine
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
