import { type Fleet, parseFleet } from '@mastichead/core'
import { randomUUID } from 'node:crypto'
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { createEntryInstances } from './createEntryInstances.js'
import type { InstanceConstraints } from './InstanceConstraints.js'
import { createSettingsText } from './createSettingsText.js'
import type { EntryInstance } from './EntryInstance.js'
import { ProcessGroup } from './ProcessGroup.js'
import { programs } from './programs.js'

const DEFAULT_RUN_MILLISECONDS = 50
const CONTROL_PORT_OFFSET = 500

interface Options {
	/** Path of the fleet file. */
	readonly fleetFile: string
	/** Port of the platform; the ports of entry instances are at fixed offsets from it. */
	readonly basePort: number
	/** Number of entry instances. */
	readonly daemons: number
	/** Time that a backend server takes for a request; 50 ms by default. */
	readonly runMilliseconds?: number
	/** Pools whose backend servers are started; all by default. */
	readonly pools?: readonly string[]
	/** What one entry instance has other than the defaults. */
	readonly constraints?: InstanceConstraints
}

/**
 * A deployment on loopback: the platform stand-in, stand-ins for the backend servers of a fleet
 * file, and entry instances. Each runs in a process of its own.
 *
 * @public
 */
export class Deployment {
	readonly processes = new ProcessGroup()
	readonly fleet: Fleet
	readonly instances: readonly EntryInstance[]
	readonly token = randomUUID()
	private readonly directory = mkdtempSync(join(tmpdir(), 'mastichead-'))

	constructor(private readonly options: Options) {
		const parsed = parseFleet(readFileSync(options.fleetFile, 'utf8'))
		if (parsed.type !== 'valid') throw new Error(`${options.fleetFile} is not a valid fleet file`)
		this.fleet = parsed.fleet
		this.instances = createEntryInstances(
			this.fleet.availabilityZones,
			options.daemons,
			options.basePort
		)
	}

	/** URLs of the operators' ports of all entry instances. */
	get operatorUrls(): string[] {
		return this.instances.map((instance) => `http://127.0.0.1:${instance.operatorPort}`)
	}

	/** URLs of the callers' ports of all entry instances. */
	get callerUrls(): string[] {
		return this.instances.map((instance) => `http://127.0.0.1:${instance.callerPort}`)
	}

	get platformUrl(): string {
		return `http://127.0.0.1:${this.options.basePort}`
	}

	/** Starts the platform, then the backend servers, then the entry instances. */
	async start(): Promise<void> {
		const platformArgs = [programs.platform, String(this.options.basePort)]
		await this.processes.start('platform', platformArgs, 'event=platform_started')
		await Promise.all(this.getBackendServerNames().map((name) => this.startBackendServer(name)))
		await Promise.all(this.instances.map((instance) => this.startDaemon(instance.name)))
	}

	/** Starts the stand-in for a backend server of the fleet. */
	async startBackendServer(name: string): Promise<void> {
		const server = this.fleet.backendServers.find((row) => row.name === name)
		const port = Number(server?.address.split(':')[1] ?? 0)
		const run = this.options.runMilliseconds ?? DEFAULT_RUN_MILLISECONDS
		const numericArgs = [port, port + CONTROL_PORT_OFFSET, run].map(String)
		await this.processes.start(
			name,
			[programs.backend, name, ...numericArgs],
			'event=backend_started'
		)
	}

	/**
	 * Starts an entry instance.
	 *
	 * @param marker - text in the log line to wait for; by default the event of a completed start
	 */
	async startDaemon(name: string, marker = 'event=daemon-started'): Promise<void> {
		const instance = this.instances.find((row) => row.name === name)
		if (!instance) throw new Error(`the deployment has no entry instance named ${name}`)
		const file = join(this.directory, `${name}.yaml`)
		const { token, instances: peers } = this
		const platformPort = this.options.basePort
		const { constraints } = this.options
		const {
			tls,
			limits,
			nodeOptions = [],
		}: InstanceConstraints = constraints?.instance === name ? constraints : { instance: name }
		const settings = { instance, peers, platformPort, token, tls, limits }
		writeFileSync(file, createSettingsText(settings))
		const args = [...nodeOptions, programs.daemon, '--settings', file]
		await this.processes.start(name, args, marker)
	}

	/** Returns the control URL of a backend server. */
	getControlUrl(server: string): string {
		const address = this.fleet.backendServers.find((row) => row.name === server)?.address ?? ''
		return `http://127.0.0.1:${Number(address.split(':')[1]) + CONTROL_PORT_OFFSET}/_control`
	}

	/**
	 * Shuts down the entry instances, then all other processes.
	 *
	 * @returns names of processes that did not exit with code 0
	 */
	async stop(): Promise<string[]> {
		const stopped = await Promise.all(
			this.instances.map(async ({ name }) => ({ name, code: await this.processes.stop(name) }))
		)
		const failed = stopped.filter(({ code }) => code !== 0).map(({ name }) => name)
		rmSync(this.directory, { recursive: true })
		return [...failed, ...(await this.processes.stopAll())]
	}

	private getBackendServerNames(): string[] {
		const { pools } = this.options
		return this.fleet.backendServers
			.filter((server) => pools === undefined || pools.includes(server.pool))
			.map((server) => server.name)
	}
}
