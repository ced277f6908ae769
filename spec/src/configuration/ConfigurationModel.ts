import { Model } from '../Model.js'
import type { ConfigurationAction } from './ConfigurationAction.js'
import type { ConfigurationMistake } from './ConfigurationMistake.js'
import type { ConfigurationState } from './ConfigurationState.js'

type Daemon = ConfigurationState['daemons'][number]
type Apply = ConfigurationState['log'][number]

interface Bounds {
	readonly operators: number
	readonly daemons: number
	readonly applies: number
	readonly copies: number
	readonly appends: number
	readonly restarts: number
}

/** Daemon that a snapshot or an empty state may start from, in entries folded. */
const FRESH = 0

/**
 * Accepting of configurations: operators race each other over a log whose answers get lost, and
 * daemons read it late, copy it from each other and restart.
 *
 * @public
 */
export class ConfigurationModel extends Model<ConfigurationState, ConfigurationAction> {
	override readonly name = 'accepting of configurations'
	override readonly invariants = new Map([
		['each-replaces-its-base', (state: ConfigurationState) => this.checkBases(state)],
		['served-version-never-falls', checkServed],
		['operators-are-told-the-truth', (state: ConfigurationState) => this.checkTold(state)],
	])

	constructor(
		private readonly bounds: Bounds,
		private readonly mistake?: ConfigurationMistake
	) {
		super()
	}

	override createInitial(): ConfigurationState {
		const { operators, daemons } = this.bounds
		const operator = { made: 0, open: null, told: [] }
		const daemon = { read: FRESH, target: 0, isServing: true, served: 0, restarts: 0 }
		return {
			log: [],
			flight: [],
			operators: Array.from({ length: operators }, () => operator),
			daemons: Array.from({ length: daemons }, () => daemon),
		}
	}

	override getActions(state: ConfigurationState): ConfigurationAction[] {
		const actions: ConfigurationAction[] = []
		if (state.log.length < this.bounds.appends) {
			for (const index of state.flight.keys()) actions.push({ kind: 'append', index })
		}
		for (const daemon of state.daemons.keys()) {
			actions.push({ kind: 'read', daemon }, { kind: 'copy', daemon })
			if (state.daemons[daemon]?.isServing === false) actions.push({ kind: 'serve', daemon })
			if ((state.daemons[daemon]?.restarts ?? 0) < this.bounds.restarts) {
				actions.push({ kind: 'restart', daemon })
			}
			for (const [operator, { open, made }] of state.operators.entries()) {
				if (state.daemons[daemon]?.isServing !== true) continue
				if (open) actions.push({ kind: 'settle', operator, daemon })
				else if (made < this.bounds.applies) actions.push({ kind: 'apply', operator, daemon })
			}
		}
		return actions
	}

	override apply(state: ConfigurationState, action: ConfigurationAction): ConfigurationState {
		switch (action.kind) {
			case 'append':
				return append(state, action.index)
			case 'apply':
				return this.propose(state, action.operator, action.daemon)
			case 'settle':
				return this.settle(state, action.operator, action.daemon)
			case 'read':
				return updateDaemon(state, action.daemon, (daemon) => readTo(daemon, state.log.length))
			case 'copy':
				return this.copy(state, action.daemon)
			case 'restart':
				return updateDaemon(state, action.daemon, (daemon) => this.restart(state, daemon))
			case 'serve':
				return updateDaemon(state, action.daemon, (daemon) => this.serve(daemon))
		}
	}

	/** Version in force after the first entries of the log, and what was decided on each id. */
	private fold(log: readonly Apply[]): { version: number; decisions: Map<string, boolean> } {
		const decisions = new Map<string, boolean>()
		let version = 0
		for (const [offset, { id, base }] of log.entries()) {
			if (decisions.has(id)) continue
			const accepted = base === version || this.mistake === 'base-ignored'
			decisions.set(id, accepted)
			if (accepted) version = offset + 1
		}
		return { version, decisions }
	}

	private propose(state: ConfigurationState, operator: number, daemon: number): ConfigurationState {
		const row = state.operators[operator]
		const read = state.daemons[daemon]?.read ?? 0
		if (!row) return state
		const { version } = this.fold(state.log.slice(0, read))
		const apply = { id: `${operator}-${row.made}`, base: version }
		const operators = state.operators.map((other, index) =>
			index === operator ? { ...row, made: row.made + 1, open: apply } : other
		)
		return { ...state, operators, flight: [...state.flight, { apply, copies: this.bounds.copies }] }
	}

	private settle(state: ConfigurationState, operator: number, daemon: number): ConfigurationState {
		const row = state.operators[operator]
		if (!row?.open) return state
		const read = state.daemons[daemon]?.read ?? 0
		const { decisions } = this.fold(state.log.slice(0, read))
		const decided = decisions.get(row.open.id)
		const accepted = decided ?? (this.mistake === 'lost-answer-guessed' ? true : undefined)
		if (accepted === undefined) return state
		const told = [...row.told, { id: row.open.id, accepted }]
		const operators = state.operators.map((other, index) =>
			index === operator ? { ...row, open: null, told } : other
		)
		return { ...state, operators }
	}

	private copy(state: ConfigurationState, index: number): ConfigurationState {
		const other = state.daemons[(index + 1) % state.daemons.length]
		return updateDaemon(state, index, (daemon) => {
			const read = other?.read ?? 0
			return this.mistake === 'older-copy-taken' ? { ...daemon, read } : readTo(daemon, read)
		})
	}

	private restart(state: ConfigurationState, daemon: Daemon): Daemon {
		const restarts = daemon.restarts + 1
		return { ...daemon, read: FRESH, target: state.log.length, isServing: false, restarts }
	}

	private serve(daemon: Daemon): Daemon {
		const isReady = daemon.read >= daemon.target || this.mistake === 'serves-before-caught-up'
		return isReady ? { ...daemon, isServing: true } : daemon
	}

	private checkBases({ log }: ConfigurationState): string | undefined {
		const { decisions } = this.fold(log)
		let version = 0
		const seen = new Set<string>()
		for (const [offset, { id, base }] of log.entries()) {
			if (!decisions.get(id) || seen.has(id)) continue
			seen.add(id)
			if (base !== version) return `${id} replaced version ${version}, not ${base}`
			version = offset + 1
		}
		return undefined
	}

	private checkTold({ log, operators }: ConfigurationState): string | undefined {
		const { decisions } = this.fold(log)
		for (const { told } of operators) {
			for (const { id, accepted } of told) {
				if (decisions.get(id) !== accepted) return `${id} was told to be ${accepted}`
			}
		}
		return undefined
	}
}

function append(state: ConfigurationState, index: number): ConfigurationState {
	const sent = state.flight[index]
	if (!sent) return state
	const rest = state.flight.filter((_, at) => at !== index)
	const again = sent.copies > 1 ? [{ ...sent, copies: sent.copies - 1 }] : []
	return { ...state, log: [...state.log, sent.apply], flight: [...rest, ...again] }
}

function readTo(daemon: Daemon, read: number): Daemon {
	return { ...daemon, read: Math.max(daemon.read, read) }
}

function updateDaemon(
	state: ConfigurationState,
	index: number,
	update: (daemon: Daemon) => Daemon
): ConfigurationState {
	const daemons = state.daemons.map((daemon, at) => {
		if (at !== index) return daemon
		const next = update(daemon)
		return next.isServing ? { ...next, served: Math.max(next.served, next.read) } : next
	})
	return { ...state, daemons }
}

function checkServed({ daemons }: ConfigurationState): string | undefined {
	const fallen = daemons.find(({ isServing, read, served }) => isServing && read < served)
	return fallen && `served ${fallen.served} entries, now ${fallen.read}`
}
