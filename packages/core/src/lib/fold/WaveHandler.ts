import { assert } from '../assert.js'
import type { BackendServerId } from '../ids/BackendServerId.js'
import type { LogEntry } from '../log/LogEntry.js'
import type { WaveAction } from '../log/WaveAction.js'
import type { WaveProposal } from '../log/WaveProposal.js'
import type { FleetState } from '../state/FleetState.js'
import type { Wave } from '../state/Wave.js'
import type { WaveStepState } from '../state/WaveStepState.js'
import { ProposalHandler } from './ProposalHandler.js'
import { setActivity } from './setActivity.js'

/** Number of ended waves kept for operators to inspect. */
const MAXIMUM_ENDED_WAVES = 64

/**
 * Handles requests of operators to create, pause, resume or abort a maintenance wave.
 *
 * @public
 */
export class WaveHandler extends ProposalHandler<'wave'> {
	override readonly kind = 'wave'

	override check(state: FleetState, { wave: id, action }: WaveProposal): string | undefined {
		const wave = state.waves.get(id)
		if (action.type === 'create') {
			return wave ? `wave ${id} exists already` : checkCreate(state, action)
		}
		if (!wave) return `unknown wave ${id}`
		switch (action.type) {
			case 'pause':
				return wave.state === 'running' ? undefined : `wave ${id} is ${wave.state}`
			case 'resume':
				return wave.state === 'paused' ? undefined : `wave ${id} is ${wave.state}`
			case 'abort':
				return wave.state === 'running' || wave.state === 'paused'
					? undefined
					: `wave ${id} is ${wave.state}`
		}
	}

	override apply(state: FleetState, { wave: id, action }: WaveProposal, entry: LogEntry): void {
		if (action.type === 'create') {
			state.waves.set(id, createWave(id, action))
			evictEndedWaves(state)
			return
		}
		const wave = state.waves.get(id)
		assert(wave, 'an accepted action must name an existing wave')
		switch (action.type) {
			case 'pause':
				state.waves.set(id, { ...wave, state: 'paused', reason: action.reason })
				return
			case 'resume':
				state.waves.set(id, { ...wave, state: 'running', reason: '', outcomes: [] })
				return
			case 'abort':
				abortWave(state, wave, entry)
		}
	}
}

function checkCreate(
	state: FleetState,
	action: Extract<WaveAction, { type: 'create' }>
): string | undefined {
	const { backendServers, parallelism, failureLimit } = action
	if (backendServers.length === 0) return 'a wave needs a backend server'
	if (new Set(backendServers).size < backendServers.length) return 'a backend server is named twice'
	const unknown = backendServers.find((name) => !state.placements.has(name))
	if (unknown !== undefined) return `unknown backend server ${unknown}`
	if (!Number.isInteger(parallelism) || parallelism < 1) return 'parallelism must be 1 or more'
	if (!Number.isInteger(failureLimit) || failureLimit < 0) return 'failureLimit must be 0 or more'
	return undefined
}

function createWave(id: string, action: Extract<WaveAction, { type: 'create' }>): Wave {
	const { parallelism, failureLimit } = action
	const steps = new Map<BackendServerId, WaveStepState>(
		action.backendServers.map((name) => [name, 'waiting'])
	)
	return { id, state: 'running', reason: '', parallelism, failureLimit, steps, outcomes: [] }
}

/** Returns draining backend servers to service; maintenance that has started runs to its end. */
function abortWave(state: FleetState, wave: Wave, entry: LogEntry): void {
	for (const [backendServer, step] of wave.steps) {
		if (step !== 'draining') continue
		wave.steps.set(backendServer, 'waiting')
		const activity = state.placements.get(backendServer)?.activity
		if (activity?.type !== 'draining' || activity.reason !== 'wave') continue
		if (activity.wave === wave.id) setActivity(state, backendServer, { type: 'serving' }, entry)
	}
	state.waves.set(wave.id, { ...wave, state: 'aborted', reason: '' })
}

function evictEndedWaves(state: FleetState): void {
	const ended = [...state.waves.values()].filter(isEnded)
	const excess = Math.max(0, ended.length - MAXIMUM_ENDED_WAVES)
	for (const wave of ended.slice(0, excess)) state.waves.delete(wave.id)
}

function isEnded(wave: Wave): boolean {
	if (wave.state === 'done') return true
	return wave.state === 'aborted' && ![...wave.steps.values()].includes('maintenance')
}
