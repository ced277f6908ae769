import {
	type BackendServer,
	type BackendServerId,
	getReclaimDelay,
	getEffectiveRunBound,
	type InstanceId,
	MaintenanceMonitor,
	type MaintenanceProgress,
	type WaveId,
} from '@mastichead/core'
import type { HealthChecker } from './HealthChecker.js'
import type { MaintenanceLog } from './MaintenanceLog.js'
import type { MaintenancePeers } from './MaintenancePeers.js'
import type { MaintenancePlatform } from './MaintenancePlatform.js'

interface Options {
	readonly log: MaintenanceLog
	readonly instance: InstanceId
	readonly peers: MaintenancePeers
	readonly healthChecker: HealthChecker
	readonly platform: MaintenancePlatform
	/** Returns the number of requests of this daemon that may still be running at a backend server. */
	readonly getOwnRunningCount: (server: BackendServerId) => number
}

interface Probe {
	/** Log offset at which the backend server entered the activity that is probed. */
	readonly sinceOffset: number
	progress: MaintenanceProgress
	/** Whether the maintenance is over and the last health check succeeded. */
	isReady: boolean
	isInFlight: boolean
}

/**
 * Tracks the state of backend servers in maintenance from the digests of peers, the platform, and
 * health checks of this daemon. `refresh` polls in the background; its results apply from the next
 * tick on.
 *
 * @internal
 */
export class LocalMaintenanceMonitor extends MaintenanceMonitor {
	private readonly probes = new Map<BackendServerId, Probe>()

	constructor(private readonly options: Options) {
		super()
	}

	override isDrained(server: BackendServerId): boolean {
		const { log, instance, peers, getOwnRunningCount } = this.options
		if (getOwnRunningCount(server) > 0) return false
		const { state } = log
		const since = state.placements.get(server)?.since
		if (!since) return false
		const reclaimDelay = getReclaimDelay(getEffectiveRunBound(state, state.at))
		if (state.at - since.at > reclaimDelay) return true
		return [...state.members.keys()].every(
			(member) => member === instance || peers.isDrainedAt(member, server, since.offset)
		)
	}

	override isReady(server: BackendServerId): boolean {
		return this.getProbe(server)?.isReady ?? false
	}

	override countRunning(server: BackendServerId): number {
		return this.options.getOwnRunningCount(server) + this.options.peers.getPeerRunningCount(server)
	}

	override getProgress(_wave: WaveId, server: BackendServerId): MaintenanceProgress {
		return this.getProbe(server)?.progress ?? 'unknown'
	}

	/** Polls the state of every backend server that is in maintenance or joining. */
	refresh(): void {
		const { state } = this.options.log
		for (const name of this.probes.keys()) if (!this.getProbe(name)) this.probes.delete(name)
		for (const [name, { activity, since }] of state.placements) {
			const server = state.backendServers.get(name)
			if (!server || (activity.type !== 'maintenance' && activity.type !== 'joining')) continue
			const probe = this.getProbe(name) ?? createProbe(since?.offset ?? 0)
			this.probes.set(name, probe)
			if (probe.isInFlight) continue
			const wave = activity.type === 'maintenance' ? activity.wave : undefined
			void this.runProbe(server, probe, wave)
		}
	}

	private async runProbe(
		server: BackendServer,
		probe: Probe,
		wave: WaveId | undefined
	): Promise<void> {
		const { platform, healthChecker } = this.options
		probe.isInFlight = true
		if (wave !== undefined) probe.progress = await platform.getProgress(wave, server.name)
		if (wave !== undefined && probe.progress === 'absent') await platform.start(wave, server.name)
		const isMaintenanceOver = wave === undefined || probe.progress === 'done'
		probe.isReady = isMaintenanceOver && (await healthChecker.check(server))
		probe.isInFlight = false
	}

	/** Returns the probe of a backend server; undefined if it belongs to an earlier activity. */
	private getProbe(server: BackendServerId): Probe | undefined {
		const sinceOffset = this.options.log.state.placements.get(server)?.since?.offset ?? 0
		const probe = this.probes.get(server)
		return probe?.sinceOffset === sinceOffset ? probe : undefined
	}
}

function createProbe(sinceOffset: number): Probe {
	return { sinceOffset, progress: 'unknown', isReady: false, isInFlight: false }
}
