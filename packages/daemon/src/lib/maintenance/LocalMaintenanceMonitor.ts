import {
	type BackendServer,
	type BackendServerId,
	getReclaimDelay,
	getEffectiveRunBound,
	type InstanceId,
	MaintenanceEvidence,
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
	/** Requests of this daemon that may still run at a backend server. */
	readonly getOwnRunningCount: (server: BackendServerId) => number
}

interface Probe {
	/** Offset since which the backend server does what it was probed in. */
	readonly since: number
	progress: MaintenanceProgress
	isReady: boolean
	isAsking: boolean
}

/**
 * What this daemon knows of backend servers from the digests of its peers, the platform, and its
 * own health checks. `refresh` asks anew; the answers count from the next tick on.
 *
 * @internal
 */
export class LocalMaintenanceMonitor extends MaintenanceEvidence {
	private readonly probes = new Map<BackendServerId, Probe>()

	constructor(private readonly options: Options) {
		super()
	}

	override isDrained(server: BackendServerId): boolean {
		const { log, instance, peers, getOwnRunningCount: getOwnRunning } = this.options
		if (getOwnRunning(server) > 0) return false
		const { state } = log
		const since = state.placements.get(server)?.since
		if (!since) return false
		const longestRun = getReclaimDelay(getEffectiveRunBound(state, state.at))
		if (state.at - since.at > longestRun) return true
		return [...state.members.keys()].every(
			(member) => member === instance || peers.isDrainedAt(member, server, since.offset)
		)
	}

	override isReady(server: BackendServerId): boolean {
		return this.getProbe(server)?.isReady ?? false
	}

	override countRunning(server: BackendServerId): number {
		return this.options.getOwnRunningCount(server) + this.options.peers.getPeerRunning(server)
	}

	override getProgress(_wave: WaveId, server: BackendServerId): MaintenanceProgress {
		return this.getProbe(server)?.progress ?? 'unknown'
	}

	/** Asks after every backend server that is in maintenance or joining. */
	refresh(): void {
		const { state } = this.options.log
		for (const name of this.probes.keys()) if (!this.getProbe(name)) this.probes.delete(name)
		for (const [name, { activity, since }] of state.placements) {
			const server = state.backendServers.get(name)
			if (!server || (activity.type !== 'maintenance' && activity.type !== 'joining')) continue
			const probe = this.getProbe(name) ?? createProbe(since?.offset ?? 0)
			this.probes.set(name, probe)
			if (probe.isAsking) continue
			const wave = activity.type === 'maintenance' ? activity.wave : undefined
			void this.ask(server, probe, wave)
		}
	}

	private async ask(server: BackendServer, probe: Probe, wave: WaveId | undefined): Promise<void> {
		const { platform, healthChecker: health } = this.options
		probe.isAsking = true
		if (wave !== undefined) probe.progress = await platform.getProgress(wave, server.name)
		if (wave !== undefined && probe.progress === 'absent') await platform.start(wave, server.name)
		const isBack = wave === undefined || probe.progress === 'done'
		probe.isReady = isBack && (await health.check(server))
		probe.isAsking = false
	}

	private getProbe(server: BackendServerId): Probe | undefined {
		const since = this.options.log.state.placements.get(server)?.since?.offset ?? 0
		const probe = this.probes.get(server)
		return probe?.since === since ? probe : undefined
	}
}

function createProbe(since: number): Probe {
	return { since, progress: 'unknown', isReady: false, isAsking: false }
}
