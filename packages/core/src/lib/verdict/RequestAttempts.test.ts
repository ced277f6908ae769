import { expect, test } from 'vitest'
import { VirtualTimerService } from '../time/VirtualTimerService.js'
import type { AttemptOutcome } from './AttemptOutcome.js'
import { RequestAttempts } from './RequestAttempts.js'
import { RetryBudget } from './RetryBudget.js'

function createFixture(idempotent: boolean) {
	const timers = new VirtualTimerService()
	const budget = new RetryBudget()
	for (let i = 0; i < 100; i++) budget.addRequest()
	const attempts = new RequestAttempts({ timers, budget, idempotent, deadline: 1000 })
	return { timers, budget, attempts }
}

const alwaysRetried: AttemptOutcome['type'][] = [
	'connection-refused',
	'connection-timeout',
	'refused',
	'reset-before-write',
]
const retriedIfIdempotent: AttemptOutcome['type'][] = [
	'reset-after-write',
	'head-timeout',
	'malformed-response',
]

test.each(alwaysRetried)('%s is retried on another backend server', (type) => {
	const { attempts } = createFixture(false)
	attempts.start('server-1')
	const decision = attempts.end({ type } as AttemptOutcome, { replayable: true })
	expect(decision).toEqual({ type: 'retry' })
	expect([...attempts.excluded]).toEqual(['server-1'])
})

test.each(retriedIfIdempotent)('%s is retried only if the request is idempotent', (type) => {
	for (const idempotent of [true, false]) {
		const { attempts } = createFixture(idempotent)
		attempts.start('server-1')
		const decision = attempts.end({ type } as AttemptOutcome, { replayable: true })
		if (idempotent) expect(decision).toEqual({ type: 'retry' })
		else expect(decision).toMatchObject({ answer: { verdict: 'may-have-run' } })
	}
})

test.each<AttemptOutcome['type']>(['truncated-response', 'body-timeout', 'cancelled-after-write'])(
	'%s is final and may have run, idempotent or not',
	(type) => {
		const { attempts } = createFixture(true)
		attempts.start('server-1')
		const decision = attempts.end({ type } as AttemptOutcome, { replayable: true })
		expect(decision).toMatchObject({ type: 'final', answer: { verdict: 'may-have-run' } })
	}
)

test('the verdict stays may-have-run when a later attempt did not run', () => {
	const { attempts } = createFixture(true)
	attempts.start('server-1')
	attempts.end({ type: 'head-timeout' }, { replayable: true })
	attempts.start('server-2')
	const decision = attempts.end({ type: 'refused' }, { replayable: false })
	expect(decision).toMatchObject({ answer: { verdict: 'may-have-run', retryAfter: undefined } })
})

test('a final refusal says when to retry', () => {
	const { attempts } = createFixture(false)
	attempts.start('server-1')
	const decision = attempts.end({ type: 'refused' }, { replayable: false })
	expect(decision).toMatchObject({ answer: { verdict: 'not-run', status: 503, retryAfter: 1000 } })
})

test('does not retry after the deadline, beyond the maximum attempts, or without budget', () => {
	const expired = createFixture(false)
	expired.attempts.start('server-1')
	expired.timers.advance(1000)
	expect(expired.attempts.end({ type: 'refused' }, { replayable: true }).type).toBe('final')

	const repeated = createFixture(false)
	const types = ['server-1', 'server-2', 'server-3'].map((server) => {
		repeated.attempts.start(server)
		return repeated.attempts.end({ type: 'refused' }, { replayable: true }).type
	})
	expect(types).toEqual(['retry', 'retry', 'final'])

	const exhausted = createFixture(false)
	while (exhausted.budget.takeRetry());
	exhausted.attempts.start('server-1')
	expect(exhausted.attempts.end({ type: 'refused' }, { replayable: true }).type).toBe('final')
})

test('a request for which no connection was free waits and does not count as an attempt', () => {
	const { attempts } = createFixture(false)
	attempts.start('server-1')
	const decision = attempts.end({ type: 'connection-unavailable' }, { replayable: true })
	expect(decision).toEqual({ type: 'wait' })
	expect(attempts.count).toBe(0)
	expect(attempts.excluded.size).toBe(0)
})
