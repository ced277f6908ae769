import type { BackendServerId } from '../ids/BackendServerId.js'
import type { WaveId } from '../ids/WaveId.js'
import type { WaveStep } from '../log/WaveStep.js'
import type { FleetState } from '../state/FleetState.js'
import type { Placement } from '../state/Placement.js'
import type { Wave } from '../state/Wave.js'
import type { Milliseconds } from '../time/Milliseconds.js'
import { AvailabilityLedger } from './AvailabilityLedger.js'
import { isInWave } from './isInWave.js'
import type { MaintenanceMonitor } from './MaintenanceMonitor.js'
import { orderCandidates } from './orderCandidates.js'
import type { PlannedWaveStep } from './PlannedWaveStep.js'
import type { WavePlan } from './WavePlan.js'
import type { WavePlannerOptions } from './WavePlannerOptions.js'

/** Default of {@link WavePlannerOptions.maintenanceTimeout}. */
const MAINTENANCE_TIMEOUT: Milliseconds = 3_600_000

/**
 * Plans the next steps of the waves. It keeps no state between calls, so that any daemon can continue
 * where another one stopped; the fold accepts or rejects each step that is proposed.
 *
 * Within a wave, the pools that need the most rounds go first, since they take longest.
 *
 * @public
 */
export class WavePlanner {
	private readonly maintenanceTimeout: Milliseconds

	constructor(options: WavePlannerOptions = {}) {
		this.maintenanceTimeout = options.maintenanceTimeout ?? MAINTENANCE_TIMEOUT
	}

	/** Returns the steps to propose now, and why waves wait. */
	plan(state: FleetState, monitor: MaintenanceMonitor): WavePlan {
		const steps: PlannedWaveStep[] = []
		const reasons = new Map<WaveId, string>()
		const waves = [...state.waves.values()].filter(hasWork)
		if (waves.length === 0) return { steps, reasons }
		const ledger = new AvailabilityLedger(state)
		for (const wave of waves) {
			steps.push(...this.planStartedSteps(state, monitor, ledger, wave))
			if (wave.state === 'running') steps.push(...planDrains(state, ledger, wave, reasons))
			else if (wave.state === 'paused') reasons.set(wave.id, wave.reason)
		}
		return { steps, reasons }
	}

	private planStartedSteps(
		state: FleetState,
		monitor: MaintenanceMonitor,
		ledger: AvailabilityLedger,
		wave: Wave
	): PlannedWaveStep[] {
		const steps: PlannedWaveStep[] = []
		for (const [backendServer, stepState] of wave.steps) {
			if (stepState === 'done' || stepState === 'failed' || stepState === 'skipped') continue
			const placement = state.placements.get(backendServer)
			let step: WaveStep | undefined
			if (!placement) step = 'abort'
			else if (stepState === 'draining') {
				step = planDrainingStep(monitor, ledger, wave, backendServer, placement)
			} else if (stepState === 'maintenance') {
				step = this.planMaintenanceStep(state, monitor, ledger, wave, backendServer, placement)
			}
			if (step) steps.push(createStep(wave.id, backendServer, step, placement))
		}
		return steps
	}

	private planMaintenanceStep(
		state: FleetState,
		monitor: MaintenanceMonitor,
		ledger: AvailabilityLedger,
		wave: Wave,
		backendServer: BackendServerId,
		placement: Placement
	): WaveStep | undefined {
		if (!isInWave(placement, wave.id, 'maintenance')) return 'abort'
		const progress = monitor.getProgress(wave.id, backendServer)
		if (progress === 'failed') return 'fail'
		const isHealthy = ledger.health.getHealth(backendServer) === 'healthy'
		if (progress === 'done' && isHealthy && monitor.isReady(backendServer)) return 'finish'
		const duration = state.at - (placement.since?.at ?? state.at)
		if (duration > this.maintenanceTimeout && progress !== 'unknown') return 'fail'
		return undefined
	}
}

function hasWork(wave: Wave): boolean {
	if (wave.state === 'running' || wave.state === 'paused') return true
	return wave.state === 'aborted' && [...wave.steps.values()].includes('maintenance')
}

/** Continues a drain while the wave is running and the budget holds, and aborts it otherwise. */
function planDrainingStep(
	monitor: MaintenanceMonitor,
	ledger: AvailabilityLedger,
	wave: Wave,
	backendServer: BackendServerId,
	placement: Placement
): WaveStep | undefined {
	if (!isInWave(placement, wave.id, 'draining')) return 'abort'
	if (wave.state !== 'running') return 'abort'
	if (ledger.checkBudget(placement.pool) !== undefined) return 'abort'
	return monitor.isDrained(backendServer) ? 'maintain' : undefined
}

function planDrains(
	state: FleetState,
	ledger: AvailabilityLedger,
	wave: Wave,
	reasons: Map<WaveId, string>
): PlannedWaveStep[] {
	const steps: PlannedWaveStep[] = []
	const inProgress = countInProgress(wave)
	let headroom = wave.parallelism - inProgress
	if (headroom <= 0) {
		reasons.set(wave.id, `${inProgress} out, parallelism ${wave.parallelism}`)
		return steps
	}
	let reason: string | undefined
	for (const candidates of orderCandidates(state, ledger, wave)) {
		if (headroom <= 0) break
		for (const backendServer of candidates) {
			if (headroom <= 0) break
			const rejection = ledger.checkDrain(backendServer)
			if (rejection !== undefined) {
				reason ??= rejection
				break
			}
			ledger.markUnavailable(backendServer)
			headroom -= 1
			steps.push(createStep(wave.id, backendServer, 'drain', state.placements.get(backendServer)))
		}
	}
	if (steps.length > 0) return steps
	reason ??= inProgress > 0 ? 'the steps under way end first' : describeBlocker(state, ledger, wave)
	if (reason !== undefined) reasons.set(wave.id, reason)
	return steps
}

function countInProgress(wave: Wave): number {
	let count = 0
	for (const step of wave.steps.values()) {
		if (step === 'draining' || step === 'maintenance') count += 1
	}
	return count
}

/** Describes a backend server that blocks a wave without steps in progress. */
function describeBlocker(
	state: FleetState,
	ledger: AvailabilityLedger,
	wave: Wave
): string | undefined {
	for (const [backendServer, step] of wave.steps) {
		const placement = state.placements.get(backendServer)
		if (step !== 'waiting' || !placement) continue
		const { type } = placement.activity
		const status = type === 'serving' ? ledger.health.getHealth(backendServer) : type
		return `${backendServer} of pool ${placement.pool} is ${status}`
	}
	return undefined
}

function createStep(
	wave: WaveId,
	backendServer: BackendServerId,
	step: WaveStep,
	placement: Placement | undefined
): PlannedWaveStep {
	return { wave, backendServer, step, since: placement?.since?.offset ?? 0 }
}
