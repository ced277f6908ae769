import { expect, test } from 'vitest'
import { formatJobReport } from './formatJobReport.js'

const report = {
	job: '00000000000000a1',
	state: 'running',
	queue: 'quotes',
	team: 'installers',
	age: 2_340,
	configuration: 3,
	logSilence: 12,
	owner: true,
	steps: [
		{
			step: 1,
			occurrence: 0,
			waiting: 2,
			placed: 0,
			done: 0,
			ended: 0,
			reason: 'dependency',
		},
	],
} as const

test('shows the state of a job and why its tasks wait', () => {
	expect(formatJobReport(report, [])).toBe(
		[
			'job 00000000000000a1 of queue quotes, team installers: running',
			'accepted 2.3 s ago; configuration 3',
			'step 1, occurrence 0: 2 waiting, 0 placed, 0 done, 0 given up; waits: an earlier step is unfinished',
			'',
		].join('\n')
	)
})

test('names the daemons that did not answer', () => {
	const text = formatJobReport({ ...report, owner: false, steps: [] }, [
		{ server: 'http://10.0.0.12:7000', reason: 'no answer' },
	])
	expect(text).toContain('! the owner did not answer')
	expect(text).toContain('! no answer from http://10.0.0.12:7000')
})
