import type { Settings } from './Settings.js'
import type { SettingsError } from './SettingsError.js'

/**
 * The result of loading settings.
 *
 * @public
 */
export type SettingsResult =
	| { readonly type: 'settings'; readonly settings: Settings }
	| { readonly type: 'error'; readonly error: SettingsError }
