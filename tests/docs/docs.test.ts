import { readdirSync, readFileSync } from 'node:fs'
import { dirname, join } from 'node:path'
import { describe, expect, it } from 'vitest'
import { parseSettings } from '@mastichead/daemon'

const DAEMON_SOURCES = 'packages/daemon/src'

function getFiles(directory: string, suffix: string): string[] {
	return readdirSync(directory, { recursive: true, encoding: 'utf8' })
		.filter((file) => file.endsWith(suffix) && !file.includes('node_modules'))
		.map((file) => join(directory, file))
}

function getPages(): string[] {
	return ['README.md', 'CONTRIBUTING.md', ...getFiles('docs', '.md')]
}

describe('documentation', () => {
	it('lists every log event, and no other', () => {
		const events = new Set<string>()
		for (const file of getFiles(DAEMON_SOURCES, '.ts')) {
			if (file.includes('.test.') || file.includes('/testing/')) continue
			const code = readFileSync(file, 'utf8').replaceAll(/^ \*.*$/gm, '')
			for (const [, event] of code.matchAll(/logger\.(?:info|warn|error|debug)\(\s*'([^']+)'/g)) {
				if (event !== undefined) events.add(event)
			}
		}
		const page = readFileSync('docs/operators/log-events.md', 'utf8')
		const listed = [...page.matchAll(/^\| `([a-z-]+)` /gm)].map(([, event]) => event)
		expect(listed.toSorted()).toEqual([...events].toSorted())
	})

	it('lists every setting', () => {
		const listener = { port: 1 }
		const result = parseSettings(
			JSON.stringify({
				instance: 'entry-1',
				availabilityZone: 'zone-a',
				listeners: { callers: listener, operators: listener, peers: listener },
				platform: { urls: ['http://127.0.0.1:1'] },
				operators: [{ name: 'ops', tokenHash: 'ab'.repeat(32) }],
			})
		)
		if (result.type === 'error') throw new Error(result.error.message)
		const { listeners, operators, ...settings } = result.settings
		const page = readFileSync('docs/interface.md', 'utf8')
		const missing = getPaths(settings).filter((path) => !page.includes(`\`${path}\``))
		expect([listeners.callers.port, operators.length, missing]).toEqual([1, 1, []])
	})

	it('has no link to a missing file', () => {
		const broken = getPages().flatMap((page) => {
			const text = readFileSync(page, 'utf8')
			const links = [...text.matchAll(/\]\(([^)#:]+)(?:#[^)]*)?\)/g)].map(([, link]) => link ?? '')
			return links
				.filter((link) => !isFile(join(dirname(page), link)))
				.map((link) => `${page}: ${link}`)
		})
		expect(broken).toEqual([])
	})
})

/** Returns the dotted path of every leaf of an object, such as `platform.urls`. */
function getPaths(value: object, prefix = ''): string[] {
	return Object.entries(value).flatMap(([key, child]: [string, unknown]) => {
		const isObject = typeof child === 'object' && child !== null && !Array.isArray(child)
		return isObject ? getPaths(child, `${prefix}${key}.`) : [`${prefix}${key}`]
	})
}

function isFile(path: string): boolean {
	try {
		readFileSync(path)
		return true
	} catch {
		return false
	}
}
