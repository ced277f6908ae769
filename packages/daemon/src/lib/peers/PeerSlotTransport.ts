import type { InstanceId, SlotGrant, SlotReport } from '@mastichead/core'
import { SlotTransport } from '../slots/SlotTransport.js'
import type { PeerManager } from './PeerManager.js'

/**
 * Sends slot reports and grants to peers over gRPC.
 *
 * @internal
 */
export class PeerSlotTransport extends SlotTransport {
	constructor(private readonly peers: PeerManager) {
		super()
	}

	override getReachableInstances(): readonly InstanceId[] {
		return this.peers.getReachableInstances()
	}

	override async sendReport(
		owner: InstanceId,
		report: SlotReport
	): Promise<readonly SlotGrant[] | undefined> {
		const reply = await this.peers.calls.reportSlots(owner, {
			instance: report.instance,
			pool: report.pool,
			demands: report.demands.map(({ team, urgency, count, oldestAge }) => ({
				team,
				urgency,
				count,
				oldestAgeMilliseconds: oldestAge,
			})),
			ends: [...report.ends],
			listsInUse: report.inUse !== undefined,
			inUse: [...(report.inUse ?? [])],
		})
		const { instance, pool } = report
		return reply?.grants.map((grant) => ({
			...grant,
			instance,
			pool,
			urgency: grant.urgency === 'urgent' ? 'urgent' : 'ordinary',
		}))
	}

	override sendGrants(instance: InstanceId, grants: readonly SlotGrant[]): Promise<boolean> {
		return this.peers.calls.grantSlots(instance, grants)
	}
}
