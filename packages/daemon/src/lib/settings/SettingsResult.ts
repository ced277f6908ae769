import type { Settings } from './Settings.js'
import type { SettingsError } from './SettingsError.js'

/**
 * Settings, or why there are none.
 *
 * @public
 */
export type SettingsResult =
	| { readonly type: 'settings'; readonly settings: Settings }
	| { readonly type: 'error'; readonly error: SettingsError }
