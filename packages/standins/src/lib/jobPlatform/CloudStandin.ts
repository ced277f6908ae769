import { JsonServer } from './JsonServer.js'
import type { RunServerStandin } from './RunServerStandin.js'
import type { StoreStandin } from './StoreStandin.js'

/** Machines on one page of the list. */
const PAGE_SIZE = 2

interface MachineRow {
	readonly machine: string
	readonly server: RunServerStandin
	readonly address: string
	pool: string
	state: 'up' | 'moving' | 'upkeep'
	/** Counts registrations of the machine's backend server; part of the server's id. */
	registrationNumber: number
	/** Highest fencing token of any order for this machine. */
	token: number
}

interface OrderCall {
	readonly machine: string
	readonly pool?: string
	readonly wave?: number
}

interface Answer {
	readonly status: number
	readonly body: object
}

/**
 * Stand-in for the platform's machine control. An order ends everything that runs on a machine; a
 * new backend server registers when the operation is over.
 *
 * @public
 */
export class CloudStandin {
	/** Orders that were executed, as `move MACHINE POOL` or `upkeep MACHINE WAVE`. */
	readonly orders: string[] = []
	/** Largest number of machines that were under upkeep at the same time. */
	maximumUnderUpkeep = 0
	private readonly rows = new Map<string, MachineRow>()
	private readonly timers = new Set<NodeJS.Timeout>()
	private readonly server = new JsonServer(({ method, url, body, headers }) => {
		if (method === 'GET') return Promise.resolve(this.list(url.searchParams.get('page_token')))
		const call = JSON.parse(body.toString()) as OrderCall
		return Promise.resolve(this.order(call, Number(headers['fencing-token'])))
	})

	/**
	 * @param options.store - store in which backend servers register
	 * @param options.duration - milliseconds that a move or upkeep takes
	 * @param options.sparePool - pool whose machines are off, so that none registers
	 */
	constructor(
		private readonly options: {
			readonly store: StoreStandin
			readonly duration: number
			readonly sparePool: string
		}
	) {}

	listen(host: string, port: number): Promise<void> {
		return this.server.listen(host, port)
	}

	close(): Promise<void> {
		for (const timer of this.timers) clearTimeout(timer)
		return this.server.close()
	}

	/** Adds a running machine and registers the backend server on it. */
	addMachine(machine: string, pool: string, server: RunServerStandin, address: string): void {
		const row: MachineRow = {
			machine,
			server,
			address,
			pool,
			state: 'up',
			registrationNumber: 0,
			token: 0,
		}
		this.rows.set(machine, row)
		this.register(row)
	}

	private list(pageToken: string | null): Answer {
		const start = Number(pageToken ?? 0)
		const end = start + PAGE_SIZE
		const machines = [...this.rows.values()].slice(start, end).map(createMachineEntry)
		return {
			status: 200,
			body: end < this.rows.size ? { machines, next_token: `${end}` } : { machines },
		}
	}

	private order({ machine, pool, wave }: OrderCall, token: number): Answer {
		const row = this.rows.get(machine)
		if (!row) return { status: 400, body: {} }
		if (token < row.token) return refuse('fence')
		row.token = token
		if (pool !== undefined && pool === row.pool) return { status: 200, body: {} }
		if (row.state !== 'up') return refuse('busy')
		this.orders.push(pool === undefined ? `upkeep ${machine} ${wave}` : `move ${machine} ${pool}`)
		this.startOperation(row, pool)
		return { status: 200, body: {} }
	}

	private startOperation(row: MachineRow, pool: string | undefined): void {
		this.options.store.delete('keyed.servers', getBackendId(row))
		row.server.restart()
		row.server.instanceId = ''
		row.registrationNumber += 1
		row.state = pool === undefined ? 'upkeep' : 'moving'
		row.pool = pool ?? row.pool
		const underUpkeep = [...this.rows.values()].filter(({ state }) => state === 'upkeep').length
		this.maximumUnderUpkeep = Math.max(this.maximumUnderUpkeep, underUpkeep)
		const timer = setTimeout(() => {
			this.timers.delete(timer)
			row.state = 'up'
			this.register(row)
		}, this.options.duration)
		this.timers.add(timer)
	}

	private register(row: MachineRow): void {
		const { store, sparePool } = this.options
		if (row.pool === sparePool) return
		const registration = row.server.createRegistration(row.pool, row.address, row.machine)
		row.server.instanceId = getBackendId(row)
		store.put('keyed.servers', getBackendId(row), registration)
	}
}

function refuse(reason: 'fence' | 'busy'): Answer {
	return { status: 409, body: { reason } }
}

function getBackendId({ machine, registrationNumber }: MachineRow): string {
	return `i-${machine}-${registrationNumber}`
}

function createMachineEntry(row: MachineRow): object {
	const { machine, pool, state } = row
	return {
		machine,
		pool,
		state,
		zone: 'a',
		labels: ['a', 'r1'],
		capacity: { cpu: 16_000, mem_mb: 65_536, gpu: 0 },
		id: getBackendId(row),
	}
}
