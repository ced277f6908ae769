import {
	assert,
	type Fold,
	type FleetState,
	type Milliseconds,
	type Proposal,
} from '@mastichead/core'

/**
 * In-memory stand-in for the platform's log that folds each entry as it is appended. Callers pass
 * the virtual time.
 *
 * @internal
 */
export class SimulatedLog {
	/** Proposals appended so far. */
	appended = 0
	/** Appended proposals that the fold accepted. */
	accepted = 0
	private lastId = 0

	constructor(private readonly fold: Fold) {}

	get state(): FleetState {
		return this.fold.state
	}

	/** Appends and folds a proposal. Returns whether it was accepted. */
	append(proposal: Proposal, at: Milliseconds): boolean {
		const decision = this.fold.apply({ offset: this.state.offset + 1, at, proposal })
		assert(decision, 'the fold decides on a new entry')
		assert(this.appended > 0 || decision.type === 'accepted', JSON.stringify(decision))
		this.appended += 1
		if (decision.type === 'rejected') return false
		this.accepted += 1
		return true
	}

	/** Appends a heartbeat of every member, which renews its lease. */
	appendHeartbeats(at: Milliseconds): void {
		for (const instance of this.state.members.keys()) {
			this.append({ kind: 'heartbeat', id: this.createId(), instance }, at)
		}
	}

	/** Appends a health report on a backend server from every member in its availability zone. */
	reportHealth(backendServer: string, isFailed: boolean, at: Milliseconds): void {
		const zone = this.state.backendServers.get(backendServer)?.availabilityZone
		for (const { instance, availabilityZone } of this.state.members.values()) {
			if (availabilityZone !== zone) continue
			const [failed, healthy] = isFailed ? [[backendServer], []] : [[], [backendServer]]
			this.append({ kind: 'health', id: this.createId(), instance, failed, healthy }, at)
		}
	}

	createId(): string {
		this.lastId += 1
		return `bench-${this.lastId}`
	}
}
