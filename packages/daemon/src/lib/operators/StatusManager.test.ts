import { createFleetState, VirtualTimerService } from '@mastichead/core'
import { describe, expect, it } from 'vitest'
import { StatusManager } from './StatusManager.js'

function createStatus() {
	const timers = new VirtualTimerService()
	const state = createFleetState()
	state.teams.set('installers', { name: 'installers', share: 1, limit: 8 })
	const log = { state, isReady: false, platformContactAt: undefined as number | undefined }
	const load = { team: 'installers', running: 2, queued: 1 }
	let isLeaving = false
	const status = new StatusManager({
		timers,
		instance: 'entry-1.0',
		availabilityZone: 'a',
		log,
		loads: {
			getPools: () => ['quotes', 'sizing'],
			getOwnLoad: () => new Map([['installers', load]]),
		},
		getUsableAllowance: () => 5,
		getPeerStatuses: () => [],
		isLeaving: () => isLeaving,
	})
	const leave = () => {
		isLeaving = true
	}
	return { status, log, timers, leave }
}

describe('StatusManager', () => {
	it('reports the loads of this daemon by team and pool', () => {
		const { status, log, timers } = createStatus()
		log.platformContactAt = timers.now()
		timers.advance(700)
		expect(status.getStatus().daemons).toEqual([
			expect.objectContaining({
				source: 'self',
				reachable: true,
				logAgeMilliseconds: 700,
				teams: [
					{
						team: 'installers',
						running: 4,
						queued: 2,
						usable: 5,
						pools: [
							{ pool: 'quotes', running: 2, queued: 1 },
							{ pool: 'sizing', running: 2, queued: 1 },
						],
					},
				],
			}),
		])
	})

	it('is ready from catching up with the log until shutdown', () => {
		const { status, log, leave } = createStatus()
		expect(status.getUnreadyReason()).toBe('the end of the log was not reached yet')
		log.isReady = true
		expect(status.getUnreadyReason()).toBeUndefined()
		leave()
		expect(status.getUnreadyReason()).toBe('the daemon shuts down')
	})
})
