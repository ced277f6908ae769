import type { SettingsError } from './SettingsError.js'

/**
 * Formats a settings error on one line with the file and, if known, the path of the setting.
 *
 * @public
 */
export function formatSettingsError(path: string, error: SettingsError): string {
	switch (error.type) {
		case 'settings-unreadable':
			return `${path}: cannot be read: ${error.message}`
		case 'settings-malformed':
			return `${path}: not valid YAML: ${error.message}`
		case 'settings-invalid':
			return `${path}: ${error.setting}: ${error.message}`
	}
}
