import { describe, expect, it } from 'vitest'
import { formatSettingsError } from './formatSettingsError.js'
import { parseSettings } from './parseSettings.js'
import { readSettings } from './readSettings.js'

const VALID = `
instance: entry-1
availabilityZone: zone-a
listeners:
  callers: { port: 20001 }
  operators: { port: 20002 }
  peers: { port: 20003 }
platform:
  urls: ['http://127.0.0.1:20000']
operators:
  - name: ops
    tokenHash: ${'ab'.repeat(32)}
`

function getMessage(text: string): string {
	const result = parseSettings(text)
	if (result.type === 'settings') throw new Error('expected an error, but the settings are valid')
	return formatSettingsError('file.yaml', result.error)
}

describe('parseSettings', () => {
	it('fills in the documented defaults', () => {
		const result = parseSettings(VALID)
		if (result.type === 'error') throw new Error(result.error.message)
		expect(result.settings.listeners.callers.host).toBe('127.0.0.1')
		expect(result.settings.shutdown.graceMilliseconds).toBe(30_000)
		expect(result.settings.keys.isolatedServeMilliseconds).toBe(900_000)
		expect(result.settings.limits.bodyBytes).toBe(67_108_864)
		expect(result.settings.log.level).toBe('info')
	})

	it.each([
		['unknown key', `${VALID}colour: red\n`, 'file.yaml: colour: unknown setting'],
		[
			'unknown nested key',
			VALID.replace('{ port: 20001 }', '{ prot: 20001, port: 1 }'),
			'file.yaml: listeners.callers.prot: unknown setting',
		],
		['wrong type', VALID.replace('port: 20003', 'port: high'), 'file.yaml: listeners.peers.port: '],
		['missing', VALID.replace('instance: entry-1', ''), 'file.yaml: instance: '],
		['bad hash', VALID.replace('ab'.repeat(32), 'secret'), 'file.yaml: operators.0.tokenHash: '],
		['not YAML', 'a: [', 'file.yaml: not valid YAML: '],
		['no mapping', 'just text', 'file.yaml: settings: '],
	])('reports %s on one line with the path of the setting', (_, text, start) => {
		const message = getMessage(text)
		expect(message.startsWith(start)).toBe(true)
		expect(message).not.toContain('\n')
	})

	it('reports a file that cannot be read', () => {
		const result = readSettings('/nonexistent/settings.yaml')
		expect(result.type === 'error' && result.error.type).toBe('settings-unreadable')
	})
})
