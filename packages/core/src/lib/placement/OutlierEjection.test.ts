import { expect, test } from 'vitest'
import { VirtualTimerService } from '../time/VirtualTimerService.js'
import { OutlierEjection } from './OutlierEjection.js'

const servers = ['server-1', 'server-2', 'server-3', 'server-4']

function createFixture() {
	const timers = new VirtualTimerService()
	const ejection = new OutlierEjection({ timers })
	ejection.setPool('quotes', servers)
	const run = (server: string, result: 'success' | 'failure' | 'neutral') => {
		const probe = ejection.recordStart(server)
		ejection.recordEnd(server, { result, probe })
	}
	const fail = (server: string, times = 5) => {
		for (let i = 0; i < times; i++) run(server, 'failure')
	}
	return { timers, ejection, run, fail }
}

test('ejects a server after consecutive failures and allows one probe at a time', () => {
	const { timers, ejection, run, fail } = createFixture()
	fail('server-1', 4)
	run('server-1', 'neutral')
	expect(ejection.isSelectable('server-1')).toBe(true)
	fail('server-1', 1)
	expect(ejection.isSelectable('server-1')).toBe(false)
	timers.advance(5000)
	expect(ejection.isSelectable('server-1')).toBe(true)
	const probe = ejection.recordStart('server-1')
	expect(probe).toBe(true)
	expect(ejection.isSelectable('server-1')).toBe(false)
	ejection.recordEnd('server-1', { result: 'success', probe })
	expect(ejection.isEjected('server-1')).toBe(true)
	run('server-1', 'success')
	run('server-1', 'success')
	expect(ejection.isEjected('server-1')).toBe(false)
})

test('doubles the ejection time after a failed probe', () => {
	const { timers, ejection, run, fail } = createFixture()
	fail('server-1')
	timers.advance(5000)
	run('server-1', 'failure')
	timers.advance(9999)
	expect(ejection.isSelectable('server-1')).toBe(false)
	timers.advance(1)
	expect(ejection.isSelectable('server-1')).toBe(true)
})

test('does not count the response to a request sent before the ejection as a probe', () => {
	const { ejection, fail } = createFixture()
	const early = ejection.recordStart('server-1')
	fail('server-1')
	ejection.recordEnd('server-1', { result: 'success', probe: early })
	expect(ejection.isEjected('server-1')).toBe(true)
})

test('ejects at most the maximum fraction of a pool', () => {
	const { ejection, fail } = createFixture()
	for (const server of servers) fail(server, 50)
	expect(servers.filter((server) => ejection.isEjected(server))).toEqual(['server-1', 'server-2'])
})

test('does not count a server that has left its pool towards the maximum fraction', () => {
	const { ejection, fail } = createFixture()
	fail('server-1')
	fail('server-2')
	ejection.setPool('quotes', ['server-2', 'server-3', 'server-4', 'server-5'])
	fail('server-3')
	expect(ejection.isEjected('server-3')).toBe(true)
})

test('lowers the failure limit of a server that a peer has ejected', () => {
	const { ejection, fail } = createFixture()
	ejection.setPeerEjected('server-1', true)
	fail('server-1', 2)
	expect(ejection.isEjected('server-1')).toBe(true)
})
