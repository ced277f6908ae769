import { PassThrough } from 'node:stream'
import { describe, expect, it } from 'vitest'
import { createLogger } from './createLogger.js'
import { formatLogLine } from './formatLogLine.js'

const TIME = new Date('2026-01-02T03:04:05.678Z')

describe('formatLogLine', () => {
	it('writes key=value pairs and quotes values where needed', () => {
		const line = formatLogLine(TIME, 'info', 'request-ended', {
			team: 'a',
			reason: 'two words',
			text: 'a="b"\nc',
			empty: '',
			count: 3,
			missing: undefined,
			list: ['x'],
			error: new Error('reset by peer'),
		})
		expect(line).toBe(
			'time=2026-01-02T03:04:05.678Z level=info event=request-ended team=a ' +
				'reason="two words" text="a=\\"b\\"\\nc" empty="" count=3 list="[\\"x\\"]" ' +
				'error="reset by peer"'
		)
	})

	it('never writes keys, tokens or bodies', () => {
		const fields = { key: 'k-secret', Authorization: 'Bearer x', body: 'text', token: 't' }
		const line = formatLogLine(TIME, 'warn', 'refused', fields)
		expect(line).not.toMatch(/secret|Bearer|text|token=t/)
	})
})

describe('createLogger', () => {
	it('writes one line per event at or above its level, including the default fields', () => {
		const stream = new PassThrough()
		const logger = createLogger({ level: 'info', fields: { instance: 'entry-1' }, stream })
		logger.debug('hidden-event')
		logger.info('shown-event', { team: 'a' })
		const text = String(stream.read())
		expect(text.split('\n')).toHaveLength(2)
		expect(text).toMatch(/^time=\S+ level=info event=shown-event instance=entry-1 team=a\n$/)
	})
})
