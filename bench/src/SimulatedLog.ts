import {
	assert,
	type Fold,
	type FleetState,
	type Milliseconds,
	type Proposal,
} from '@mastichead/core'

/**
 * The platform's log with a fold at its end, in virtual time.
 *
 * @internal
 */
export class SimulatedLog {
	appended = 0
	accepted = 0
	private lastId = 0

	constructor(private readonly fold: Fold) {}

	get state(): FleetState {
		return this.fold.state
	}

	/** Appends and folds a proposal. @returns whether it was accepted */
	append(proposal: Proposal, at: Milliseconds): boolean {
		const decision = this.fold.apply({ offset: this.state.offset + 1, at, proposal })
		assert(decision, 'the entry is new')
		assert(this.appended > 0 || decision.type === 'accepted', JSON.stringify(decision))
		this.appended += 1
		if (decision.type === 'rejected') return false
		this.accepted += 1
		return true
	}

	/** Renews the leases of all members. */
	appendHeartbeats(at: Milliseconds): void {
		for (const instance of this.state.members.keys()) {
			this.append({ kind: 'heartbeat', id: this.createId(), instance }, at)
		}
	}

	/** Reports the health of a backend server by all of its zone. */
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
