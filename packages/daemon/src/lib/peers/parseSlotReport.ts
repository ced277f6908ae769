import type { SlotEnd, SlotReport } from '@mastichead/core'
import type { SlotReport as SlotReportMessage } from '@mastichead/protocol'

const SLOT_RESULTS: readonly SlotEnd['result'][] = [
	'unused',
	'success',
	'failure',
	'neutral',
	'full',
]

/**
 * Converts a slot report from the wire. An unknown urgency counts as `ordinary` and an unknown
 * result as `neutral`.
 *
 * @internal
 */
export function parseSlotReport(message: SlotReportMessage): SlotReport {
	const { instance, pool } = message
	return {
		instance,
		pool,
		demands: message.demands.map(({ team, urgency, count, oldestAgeMilliseconds }) => ({
			team,
			urgency: urgency === 'urgent' ? 'urgent' : 'ordinary',
			count,
			oldestAge: oldestAgeMilliseconds,
		})),
		ends: message.ends.map(({ grant, result }) => ({
			grant,
			result: SLOT_RESULTS.find((known) => known === result) ?? 'neutral',
		})),
		inUse: message.listsInUse
			? message.inUse.map(({ id, server, team, urgency }) => ({
					id,
					server,
					team,
					instance,
					pool,
					urgency: urgency === 'urgent' ? 'urgent' : 'ordinary',
				}))
			: undefined,
	}
}
