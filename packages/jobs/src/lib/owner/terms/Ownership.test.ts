import { VirtualTimerService } from '@mastichead/core'
import { describe, expect, it } from 'vitest'
import { SilentEventLog } from '../../logs/SilentEventLog.js'
import type { JoinResult } from '../../ports/JoinResult.js'
import { createTestFleet } from '../../testing/createTestFleet.js'
import { MemoryLog } from '../../testing/MemoryLog.js'
import { MemoryStore } from '../../testing/MemoryStore.js'
import { Ownership } from './Ownership.js'

/** Time after which a join without an answer fails, the wait for a connection included, in milliseconds. */
const CALL_TIMEOUT = 1_300
/** Longest time from the loss of the preferred instances to the term of another one, in milliseconds. */
const MAXIMUM_STANDBY_TAKEOVER = 5_000

// Guards against an ownership that passes on because of single lost answers: the next join waited for
// the timeout of the one before, longer than the membership lasts.
describe('an owner to which every third answer to a join is lost', () => {
	it('stays a member and keeps its term', async () => {
		const { advance, members, acquisitions } = createMembers(LossyLog)
		await advance(20_000)
		expect(acquisitions).toEqual(['m1 1000'])
		expect(members[0]?.isMember).toBe(true)
	})
})

// Guards against an owner that was suspended and goes on under a permission that has run out: the
// monotonic clock stands still meanwhile.
describe('an owner whose machine was suspended', () => {
	it('knows from the wall clock that its membership and its term may have ended', async () => {
		const { advance, members, suspend } = createMembers(MemoryLog)
		await advance(1_000)
		const [owner] = members
		expect([owner?.isMember, owner?.isCurrent]).toEqual([true, true])
		suspend(2_000)
		expect([owner?.isMember, owner?.isCurrent]).toEqual([false, true])
		suspend(4_000)
		expect([owner?.isMember, owner?.isCurrent]).toEqual([false, false])
		await advance(400)
		expect([owner?.isMember, owner?.isCurrent]).toEqual([true, true])
	})
})

// Guards against terms on instances with narrow links, which were filled by what a new owner reads, so
// that the membership lapsed and the next instance began the same.
describe('instances that are not preferred as owners', () => {
	it('leave the ownership to a preferred one, also while it changes hands', async () => {
		const fleet = createTestFleet({ instances: 6, standbys: 4, backends: 2 })
		await fleet.advance(6_000)
		const first = fleet.instances.findIndex(({ daemon }) => daemon.isOwner)
		expect(first).toBeGreaterThanOrEqual(4)
		const lost = fleet.instances[first]
		if (lost) lost.log.disconnected = true
		await fleet.advance(3_000)
		const second = fleet.instances.findIndex(
			({ daemon }, index) => daemon.isOwner && index !== first
		)
		expect(second).toBeGreaterThanOrEqual(4)
	})

	it('take over if no preferred one is left, and keep the term when one returns', async () => {
		const fleet = createTestFleet({ instances: 3, standbys: 2, backends: 2 })
		await fleet.advance(2_000)
		const preferred = fleet.instances[2]
		expect(preferred?.daemon.isOwner).toBe(true)
		if (preferred) preferred.log.disconnected = true
		await fleet.advance(MAXIMUM_STANDBY_TAKEOVER)
		const getStandbyOwner = () => fleet.instances.findIndex(({ daemon }) => daemon.isOwner)
		const owner = getStandbyOwner()
		expect(owner).toBeLessThan(2)
		if (preferred) preferred.log.disconnected = false
		await fleet.advance(10_000)
		expect(getStandbyOwner()).toBe(owner)
		const job = createTestFleet.createJob(1, [{ count: 2 }])
		void preferred?.daemon.intake.submit(job, fleet.timers.now() + 2_000)
		await fleet.advance(1_500)
		expect(fleet.journal.getRuns(`${job.id}.0.0.0`)).toHaveLength(1)
	})
})

/** Log that loses every third answer to a join; the join itself is carried out. */
class LossyLog extends MemoryLog {
	private joins = 0

	override async join(member: string, timeToLive: number): Promise<JoinResult> {
		this.joins += 1
		const isLost = this.joins % 3 === 0
		const result = await super.join(member, timeToLive)
		if (!isLost) return result
		await this.sleep(CALL_TIMEOUT)
		return { kind: 'unavailable', reason: 'no answer' }
	}
}

/** Creates two members of one group, the first with a log of the given kind. */
function createMembers(
	createLog: new (store: MemoryStore, timers: VirtualTimerService) => MemoryLog
) {
	const timers = new VirtualTimerService()
	const store = new MemoryStore()
	let suspendedFor = 0
	const acquisitions: string[] = []
	const members = ['m1', 'm2'].map((member, index) => {
		return new Ownership({
			member,
			log: index === 0 ? new createLog(store, timers) : new MemoryLog(store, timers),
			timers,
			events: new SilentEventLog(),
			getWallTime: () => timers.now() + suspendedFor,
			isReady: () => true,
			isPreferred: true,
			getOwnerSilence: () => undefined,
			onAcquire: (token) => acquisitions.push(`${member} ${token}`),
			onLose: () => undefined,
		})
	})
	for (const member of members) member.start()
	const advance = async (duration: number): Promise<void> => {
		for (let step = 0; step < duration; step += 1) {
			timers.advance(1)
			await new Promise((resolve) => setImmediate(resolve))
		}
	}
	const suspend = (duration: number): void => {
		suspendedFor += duration
	}
	return { advance, members, acquisitions, suspend }
}
