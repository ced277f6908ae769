import { createWriteStream, mkdirSync, type WriteStream } from 'node:fs'
import path from 'node:path'
import { pathToFileURL } from 'node:url'
import type { RunEvent } from '@mastichead/standins'
import {
	ProcessGroup,
	RunServerStandin,
	StoreStandin,
	createJobSettingsFile,
	createOperatorConfiguration,
} from '@mastichead/standins'
import { FaultProxy } from './FaultProxy.js'
import type { LinkFault } from './LinkFault.js'
import type { SoakOptions } from './SoakOptions.js'

const STORE_PORT = 21_344
const SERVER_PORT = 8_080
const INNER_SERVER_PORT = 8_081
const METRICS_PORT = 7_000
/** Last number of the first address of the instances, their store links, and the backend servers. */
const FIRST_INSTANCE = 10
const FIRST_LINK = 90
const FIRST_SERVER = 170
/** Every third instance has a link of 10 Mbit/s. */
const NARROW_LINK_INTERVAL = 3
const NARROW_MEGABITS = 10
const WIDE_MEGABITS = 200
const BYTES_PER_MEGABIT = 125_000
/** Duration of a run. */
const RUN_MILLISECONDS = 400
/** Time from a crash under a task until the server starts again. */
const RESTART_MILLISECONDS = 3_000
/** Module by which the wall clock of an instance is set off, and by how many milliseconds. */
const CLOCK_MODULE = pathToFileURL(path.resolve('packages/soak/dist/stepWallClock.js')).href
const CLOCK_STEP_MILLISECONDS = 3_000
const OWNER_METRIC = 'mastichead_owner 1'
const METRICS_TIMEOUT_MILLISECONDS = 300

/**
 * The programs of a soak: real daemons as separate processes, and stand-ins for the store and the
 * backend servers, with a link that can be disturbed in front of each.
 *
 * @public
 */
export class SoakFleet {
	/** Cores of one task, and what the team may use, in thousandths of a core. */
	static readonly taskCpu = 500
	static readonly cpuLimit = 20_000
	readonly processes = new ProcessGroup()
	/** Everything that the backend servers saw, in order of its notice. */
	readonly runs: RunEvent[] = []
	private readonly store = new StoreStandin()
	private readonly storeLinks: FaultProxy[] = []
	private readonly serverLinks: FaultProxy[] = []
	private readonly servers: RunServerStandin[] = []
	private configurationVersion = 0
	/** Files with the output of each instance, in the folder of the soak. */
	private readonly outputs = new Map<string, WriteStream>()

	constructor(private readonly options: SoakOptions) {}

	async start(): Promise<void> {
		mkdirSync(this.options.folder, { recursive: true })
		this.processes.onLine = (name, line) => {
			this.getOutput(name).write(`${line}\n`)
		}
		await this.store.listen(this.getHost(1), STORE_PORT)
		for (let number = 0; number < this.options.servers; number += 1) await this.startServer(number)
		this.configure(['key-0'])
		for (let number = 0; number < this.options.instances; number += 1) {
			const link = new FaultProxy(
				{ host: this.getHost(1), port: STORE_PORT },
				this.getMegabits(number) * BYTES_PER_MEGABIT
			)
			await link.listen(this.getHost(FIRST_LINK + number), STORE_PORT)
			this.storeLinks.push(link)
			await this.startInstance(number)
		}
	}

	async startInstance(number: number): Promise<void> {
		const name = this.getInstanceName(number)
		const settings = path.join(this.options.folder, `${name}.toml`)
		createJobSettingsFile(settings, {
			instance: name,
			ip: this.getInstanceAddress(number),
			store: `${this.getHost(FIRST_LINK + number)}:${STORE_PORT}`,
			link: this.getMegabits(number),
		})
		const step = number % 2 === 0 ? CLOCK_STEP_MILLISECONDS : -CLOCK_STEP_MILLISECONDS
		const environment = { MASTICHEAD_CONFIG: settings, SOAK_CLOCK_STEP: `${step}` }
		const args = ['--import', CLOCK_MODULE, this.options.program]
		await this.processes.start(name, args, '"started"', environment)
	}

	getInstanceName(number: number): string {
		return `instance-${number}`
	}

	getInstanceAddress(number: number): string {
		return this.getHost(FIRST_INSTANCE + number)
	}

	/** Returns the number of the instance that owns the jobs; undefined if none says so. */
	async findOwner(): Promise<number | undefined> {
		for (let number = 0; number < this.options.instances; number += 1) {
			const url = `http://${this.getInstanceAddress(number)}:${METRICS_PORT}/metrics`
			const signal = AbortSignal.timeout(METRICS_TIMEOUT_MILLISECONDS)
			const text = await fetch(url, { signal }).then(
				(answer) => answer.text(),
				// An instance that does not answer is no owner that could be found.
				() => ''
			)
			if (text.includes(OWNER_METRIC)) return number
		}
		return undefined
	}

	setStoreFault(instance: number, fault: LinkFault): void {
		this.storeLinks[instance]?.setFault(fault)
	}

	setServerFault(server: number, fault: LinkFault): void {
		this.serverLinks[server]?.setFault(fault)
	}

	restartServer(number: number): void {
		this.servers[number]?.restart()
		this.register(number, 'ready')
	}

	/** Ends all runs of a backend server, as its crash does. */
	crashServer(number: number): void {
		this.servers[number]?.restart()
	}

	/** Lets a backend server crash under a task, and start again under its id. */
	private crashForSomeTime(number: number): void {
		this.setServerFault(number, 'reset')
		this.crashServer(number)
		setTimeout(() => {
			this.setServerFault(number, 'none')
			this.restartServer(number)
		}, RESTART_MILLISECONDS).unref()
	}

	/** Writes the state of a backend server to the registry; undefined removes it. */
	register(number: number, state: 'ready' | 'draining' | undefined): void {
		const id = `i-${number}`
		const address = `${this.getHost(FIRST_SERVER + number)}:${SERVER_PORT}`
		const entry = this.servers[number]?.createRegistration('desk', address, `m-${number}`)
		if (state === undefined) this.store.delete('keyed.servers', id)
		else this.store.put('keyed.servers', id, { ...entry, state })
	}

	/** Puts a configuration in force in which the team has these keys. */
	configure(keys: readonly string[]): void {
		this.configurationVersion += 1
		const options = { version: this.configurationVersion, keys, cpu: SoakFleet.cpuLimit }
		this.store.put('keyed.op', 'config', createOperatorConfiguration(options))
	}

	/** Ends every process and server that the soak has started. */
	async stop(): Promise<void> {
		for (const name of this.processes.getNames()) this.processes.signal(name, 'SIGCONT')
		for (const name of this.processes.getNames()) await this.processes.stop(name, 'SIGKILL')
		for (const link of [...this.storeLinks, ...this.serverLinks]) await link.close()
		for (const server of this.servers) await server.close()
		await this.store.close()
		for (const output of this.outputs.values()) output.end()
	}

	private async startServer(number: number): Promise<void> {
		const host = this.getHost(FIRST_SERVER + number)
		const server = new RunServerStandin(RUN_MILLISECONDS)
		server.instanceId = `i-${number}`
		server.onEvent = (event) => this.runs.push(event)
		server.onCrash = () => {
			this.crashForSomeTime(number)
		}
		await server.listen(host, INNER_SERVER_PORT)
		const link = new FaultProxy({ host, port: INNER_SERVER_PORT })
		await link.listen(host, SERVER_PORT)
		this.servers.push(server)
		this.serverLinks.push(link)
		this.register(number, 'ready')
	}

	private getOutput(name: string): WriteStream {
		const existing = this.outputs.get(name)
		if (existing) return existing
		const output = createWriteStream(path.join(this.options.folder, `${name}.log`))
		this.outputs.set(name, output)
		return output
	}

	private getMegabits(instance: number): number {
		return instance % NARROW_LINK_INTERVAL === 0 ? NARROW_MEGABITS : WIDE_MEGABITS
	}

	private getHost(last: number): string {
		return `127.0.${this.options.network}.${last}`
	}
}
