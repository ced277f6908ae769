import { Model } from '../Model.js'
import type { ConfigurationAction } from './ConfigurationAction.js'
import type { ConfigurationBug } from './ConfigurationBug.js'
import type { ConfigurationState } from './ConfigurationState.js'

type Daemon = ConfigurationState['daemons'][number]
type Apply = ConfigurationState['log'][number]

interface Bounds {
	readonly operators: number
	readonly daemons: number
	/** Applies of each operator. */
	readonly applies: number
	/** Times that each apply may be appended. */
	readonly copies: number
	/** Appends, including repeated ones. */
	readonly appends: number
	/** Restarts of each daemon. */
	readonly restarts: number
}

/** Entries folded by a daemon when it starts, from a snapshot or an empty state. */
const INITIAL_ENTRIES = 0

/**
 * Acceptance of configurations. Operators race each other over a log whose answers may be lost.
 * Daemons read the log late, copy entries from each other and restart.
 *
 * @public
 */
export class ConfigurationModel extends Model<ConfigurationState, ConfigurationAction> {
	override readonly name = 'acceptance of configurations'
	override readonly invariants = new Map([
		['each-replaces-its-base', (state: ConfigurationState) => this.checkBases(state)],
		['served-version-never-falls', checkServedVersions],
		[
			'reported-outcomes-match-log',
			(state: ConfigurationState) => this.checkReportedOutcomes(state),
		],
	])

	constructor(
		private readonly bounds: Bounds,
		private readonly bug?: ConfigurationBug
	) {
		super()
	}

	override createInitial(): ConfigurationState {
		const { operators, daemons } = this.bounds
		const operator = { applyCount: 0, pendingApply: null, reportedOutcomes: [] }
		const daemon = {
			foldedEntries: INITIAL_ENTRIES,
			requiredEntries: 0,
			isServing: true,
			highestServed: 0,
			restarts: 0,
		}
		return {
			log: [],
			inFlight: [],
			operators: Array.from({ length: operators }, () => operator),
			daemons: Array.from({ length: daemons }, () => daemon),
		}
	}

	override getActions(state: ConfigurationState): ConfigurationAction[] {
		const actions: ConfigurationAction[] = []
		if (state.log.length < this.bounds.appends) {
			for (const index of state.inFlight.keys()) actions.push({ kind: 'append', index })
		}
		for (const daemon of state.daemons.keys()) {
			actions.push({ kind: 'read', daemon }, { kind: 'copy', daemon })
			if (state.daemons[daemon]?.isServing === false) actions.push({ kind: 'serve', daemon })
			if ((state.daemons[daemon]?.restarts ?? 0) < this.bounds.restarts) {
				actions.push({ kind: 'restart', daemon })
			}
			for (const [operator, { pendingApply, applyCount }] of state.operators.entries()) {
				if (state.daemons[daemon]?.isServing !== true) continue
				if (pendingApply) actions.push({ kind: 'settle', operator, daemon })
				else if (applyCount < this.bounds.applies) actions.push({ kind: 'apply', operator, daemon })
			}
		}
		return actions
	}

	override apply(state: ConfigurationState, action: ConfigurationAction): ConfigurationState {
		switch (action.kind) {
			case 'append':
				return append(state, action.index)
			case 'apply':
				return this.sendApply(state, action.operator, action.daemon)
			case 'settle':
				return this.settle(state, action.operator, action.daemon)
			case 'read':
				return updateDaemon(state, action.daemon, (daemon) => foldTo(daemon, state.log.length))
			case 'copy':
				return this.copy(state, action.daemon)
			case 'restart':
				return updateDaemon(state, action.daemon, (daemon) => this.restart(state, daemon))
			case 'serve':
				return updateDaemon(state, action.daemon, (daemon) => this.serve(daemon))
		}
	}

	/** Returns the version in force at the end of `log`, and whether each id was accepted. */
	private fold(log: readonly Apply[]): { version: number; decisions: Map<string, boolean> } {
		const decisions = new Map<string, boolean>()
		let version = 0
		for (const [offset, { id, base }] of log.entries()) {
			if (decisions.has(id)) continue
			const accepted = base === version || this.bug === 'base-ignored'
			decisions.set(id, accepted)
			if (accepted) version = offset + 1
		}
		return { version, decisions }
	}

	private sendApply(
		state: ConfigurationState,
		operator: number,
		daemon: number
	): ConfigurationState {
		const row = state.operators[operator]
		const foldedEntries = state.daemons[daemon]?.foldedEntries ?? 0
		if (!row) return state
		const { version } = this.fold(state.log.slice(0, foldedEntries))
		const apply = { id: `${operator}-${row.applyCount}`, base: version }
		const operators = state.operators.map((other, index) =>
			index === operator ? { ...row, applyCount: row.applyCount + 1, pendingApply: apply } : other
		)
		return {
			...state,
			operators,
			inFlight: [...state.inFlight, { apply, copies: this.bounds.copies }],
		}
	}

	private settle(state: ConfigurationState, operator: number, daemon: number): ConfigurationState {
		const row = state.operators[operator]
		if (!row?.pendingApply) return state
		const foldedEntries = state.daemons[daemon]?.foldedEntries ?? 0
		const { decisions } = this.fold(state.log.slice(0, foldedEntries))
		const decision = decisions.get(row.pendingApply.id)
		const accepted = decision ?? (this.bug === 'lost-answer-assumed-accepted' ? true : undefined)
		if (accepted === undefined) return state
		const reportedOutcomes = [...row.reportedOutcomes, { id: row.pendingApply.id, accepted }]
		const operators = state.operators.map((other, index) =>
			index === operator ? { ...row, pendingApply: null, reportedOutcomes } : other
		)
		return { ...state, operators }
	}

	private copy(state: ConfigurationState, index: number): ConfigurationState {
		const other = state.daemons[(index + 1) % state.daemons.length]
		return updateDaemon(state, index, (daemon) => {
			const foldedEntries = other?.foldedEntries ?? 0
			return this.bug === 'older-copy-accepted'
				? { ...daemon, foldedEntries }
				: foldTo(daemon, foldedEntries)
		})
	}

	private restart(state: ConfigurationState, daemon: Daemon): Daemon {
		const restarts = daemon.restarts + 1
		return {
			...daemon,
			foldedEntries: INITIAL_ENTRIES,
			requiredEntries: state.log.length,
			isServing: false,
			restarts,
		}
	}

	private serve(daemon: Daemon): Daemon {
		const isReady =
			daemon.foldedEntries >= daemon.requiredEntries || this.bug === 'serves-before-caught-up'
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

	private checkReportedOutcomes({ log, operators }: ConfigurationState): string | undefined {
		const { decisions } = this.fold(log)
		for (const { reportedOutcomes } of operators) {
			for (const { id, accepted } of reportedOutcomes) {
				if (decisions.get(id) !== accepted) return `${id} was reported as accepted: ${accepted}`
			}
		}
		return undefined
	}
}

function append(state: ConfigurationState, index: number): ConfigurationState {
	const sent = state.inFlight[index]
	if (!sent) return state
	const rest = state.inFlight.filter((_, at) => at !== index)
	const repeats = sent.copies > 1 ? [{ ...sent, copies: sent.copies - 1 }] : []
	return { ...state, log: [...state.log, sent.apply], inFlight: [...rest, ...repeats] }
}

function foldTo(daemon: Daemon, foldedEntries: number): Daemon {
	return { ...daemon, foldedEntries: Math.max(daemon.foldedEntries, foldedEntries) }
}

function updateDaemon(
	state: ConfigurationState,
	index: number,
	update: (daemon: Daemon) => Daemon
): ConfigurationState {
	const daemons = state.daemons.map((daemon, at) => {
		if (at !== index) return daemon
		const next = update(daemon)
		return next.isServing
			? { ...next, highestServed: Math.max(next.highestServed, next.foldedEntries) }
			: next
	})
	return { ...state, daemons }
}

function checkServedVersions({ daemons }: ConfigurationState): string | undefined {
	const regressed = daemons.find(
		({ isServing, foldedEntries, highestServed }) => isServing && foldedEntries < highestServed
	)
	return regressed && `served ${regressed.highestServed} entries, now ${regressed.foldedEntries}`
}
