import { setTimeout as delay } from 'node:timers/promises'
import type { LinkFault } from './LinkFault.js'
import type { PlannedFault } from './PlannedFault.js'
import type { SoakCaller } from './SoakCaller.js'
import type { SoakFault } from './SoakFault.js'
import type { SoakFleet } from './SoakFleet.js'
import type { SoakOptions } from './SoakOptions.js'
import type { SoakRecord } from './SoakRecord.js'

/** Time that a backend server goes on after it has reported that it is draining. */
const DRAIN_MILLISECONDS = 2_000
/** Time after which the registration of a server that is gone is removed. */
const REGISTRATION_MILLISECONDS = 3_000
/** Share of the servers that may be gone for good. */
const GONE_SHARE = 0.5
/** Time in which the old key and the new one are both in force. */
const KEY_OVERLAP_MILLISECONDS = 1_000
/** Faults of which an instance suffers only one at a time. */
const SIGNALS: ReadonlySet<SoakFault> = new Set(['kill', 'terminate', 'pause', 'clock-step'])
const STORE_PREFIX = 'store-'
const SERVER_PREFIX = 'server-'

/**
 * Injects the planned faults and records which instances they disturbed, and when.
 *
 * @public
 */
export class FaultInjector {
	readonly faults: SoakRecord['faults'][number][] = []
	readonly disturbances: SoakRecord['disturbances'][number][] = []
	readonly withdrawals: SoakRecord['withdrawals'][number][] = []
	private readonly pending: Promise<void>[] = []
	/** Instances that a signal has hit and that are not back yet. */
	private readonly signalled = new Set<number>()
	/** Backend servers that are gone for good. */
	private readonly gone = new Set<number>()
	private keyCount = 1

	constructor(
		private readonly fleet: SoakFleet,
		private readonly caller: SoakCaller,
		private readonly options: SoakOptions
	) {}

	/** Injects the faults of a plan, each at its time. Resolves when all are over. */
	async run(plan: readonly PlannedFault[]): Promise<void> {
		const startedAt = Date.now()
		for (const fault of plan) {
			await delay(Math.max(0, startedAt + fault.at - Date.now()))
			this.pending.push(this.record(fault))
		}
		await Promise.all(this.pending)
	}

	private async record(fault: PlannedFault): Promise<void> {
		const from = Date.now()
		await this.inject(fault)
		this.faults.push({ from, to: Date.now() })
	}

	private async inject(fault: PlannedFault): Promise<void> {
		const { kind } = fault
		if (SIGNALS.has(kind)) return this.signal(fault)
		if (kind === 'key-withdrawal') return this.withdrawKey()
		if (kind === 'store-outage') return this.cutStore(fault)
		const server = fault.target % this.options.servers
		if (kind.startsWith(SERVER_PREFIX) && this.gone.has(server)) return
		if (kind === 'server-leaves') return this.removeServer(fault)
		if (kind === 'server-gone') {
			this.loseServer(server)
			return
		}
		if (kind === 'server-restart') {
			this.fleet.restartServer(server)
			return
		}
		if (kind.startsWith(SERVER_PREFIX)) {
			this.fleet.setServerFault(server, kind.slice(SERVER_PREFIX.length) as LinkFault)
			await delay(fault.duration)
			if (!this.gone.has(server)) this.fleet.setServerFault(server, 'none')
			return
		}
		const instance = await this.selectInstance(fault)
		await this.disturb(instance, async () => {
			this.fleet.setStoreFault(instance, kind.slice(STORE_PREFIX.length) as LinkFault)
			await delay(fault.duration)
			this.fleet.setStoreFault(instance, 'none')
		})
	}

	private async signal(fault: PlannedFault): Promise<void> {
		const instance = await this.selectInstance(fault)
		if (this.signalled.has(instance)) return
		this.signalled.add(instance)
		await this.disturb(instance, async () => {
			const name = this.fleet.getInstanceName(instance)
			if (fault.kind === 'clock-step') {
				this.fleet.processes.signal(name, 'SIGUSR2')
				await delay(fault.duration)
				this.fleet.processes.signal(name, 'SIGUSR2')
				return
			}
			if (fault.kind === 'pause') {
				this.fleet.processes.signal(name, 'SIGSTOP')
				await delay(fault.duration)
				this.fleet.processes.signal(name, 'SIGCONT')
				return
			}
			await this.fleet.processes.stop(name, fault.kind === 'kill' ? 'SIGKILL' : 'SIGTERM')
			await this.fleet.startInstance(instance)
		})
		this.signalled.delete(instance)
	}

	private async cutStore({ duration }: PlannedFault): Promise<void> {
		const numbers = Array.from({ length: this.options.instances }, (_, number) => number)
		const cut = numbers.map((instance) =>
			this.disturb(instance, async () => {
				this.fleet.setStoreFault(instance, 'silent')
				await delay(duration)
				this.fleet.setStoreFault(instance, 'none')
			})
		)
		await Promise.all(cut)
	}

	/** Lets a backend server leave, and another life of it come back. */
	private async removeServer({ target, duration }: PlannedFault): Promise<void> {
		const server = target % this.options.servers
		this.fleet.register(server, 'draining')
		await delay(DRAIN_MILLISECONDS)
		this.fleet.register(server, undefined)
		this.fleet.setServerFault(server, 'reset')
		await delay(duration)
		if (this.gone.has(server)) return
		this.fleet.setServerFault(server, 'none')
		this.fleet.restartServer(server)
	}

	/** Lets a backend server crash for good, unless half of them have. */
	private loseServer(server: number): void {
		if (this.gone.size + 1 > this.options.servers * GONE_SHARE) return
		this.gone.add(server)
		this.fleet.setServerFault(server, 'reset')
		this.fleet.crashServer(server)
		this.pending.push(
			delay(REGISTRATION_MILLISECONDS).then(() => {
				this.fleet.register(server, undefined)
			})
		)
	}

	private async withdrawKey(): Promise<void> {
		const old = this.caller.key
		const key = `key-${this.keyCount}`
		this.keyCount += 1
		this.fleet.configure([old, key])
		await delay(KEY_OVERLAP_MILLISECONDS)
		this.caller.key = key
		this.fleet.configure([key])
		this.withdrawals.push({ key: old, at: Date.now() })
	}

	private async selectInstance({ target, hitsOwner }: PlannedFault): Promise<number> {
		const owner = hitsOwner ? await this.fleet.findOwner() : undefined
		return owner ?? target % this.options.instances
	}

	private async disturb(instance: number, fault: () => Promise<void>): Promise<void> {
		const from = Date.now()
		await fault()
		this.disturbances.push({ instance, from, to: Date.now() })
	}
}
