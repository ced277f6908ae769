import { parse } from 'yaml'
import type { z } from 'zod'
import type { SettingsError } from './SettingsError.js'
import type { SettingsResult } from './SettingsResult.js'
import { settingsSchema } from './settingsSchema.js'

/**
 * Parses and validates the text of a settings file.
 *
 * @param text - YAML
 * @public
 */
export function parseSettings(text: string): SettingsResult {
	let document: unknown
	try {
		document = parse(text)
	} catch (error) {
		return { type: 'error', error: { type: 'settings-malformed', message: getFirstLine(error) } }
	}
	const result = settingsSchema.safeParse(document)
	if (result.success) return { type: 'settings', settings: result.data }
	return { type: 'error', error: getFirstError(result.error) }
}

function getFirstLine(error: unknown): string {
	const message = error instanceof Error ? error.message : String(error)
	return message.split('\n', 1)[0] ?? ''
}

function getFirstError(error: z.ZodError): SettingsError {
	const issue = error.issues[0]
	if (!issue) return { type: 'settings-malformed', message: error.message }
	if (issue.code === 'unrecognized_keys') {
		const path = [...issue.path, issue.keys[0] ?? '']
		return { type: 'settings-invalid', setting: path.join('.'), message: 'unknown setting' }
	}
	const setting = issue.path.length === 0 ? 'settings' : issue.path.join('.')
	return { type: 'settings-invalid', setting, message: issue.message }
}
