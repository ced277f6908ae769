import { readFileSync } from 'node:fs'
import { parseSettings } from './parseSettings.js'
import type { SettingsResult } from './SettingsResult.js'

/**
 * Reads and validates a settings file.
 *
 * @public
 */
export function readSettings(path: string): SettingsResult {
	let text: string
	try {
		text = readFileSync(path, 'utf8')
	} catch (error) {
		const message = error instanceof Error ? error.message : String(error)
		return { type: 'error', error: { type: 'settings-unreadable', message } }
	}
	return parseSettings(text)
}
