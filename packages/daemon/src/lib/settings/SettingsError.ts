/**
 * Why settings cannot be used.
 *
 * - `settings-unreadable`: the file cannot be read
 * - `settings-malformed`: the text is not YAML
 * - `settings-invalid`: a setting is unknown, missing or has a wrong value
 *
 * @public
 */
export type SettingsError =
	| { readonly type: 'settings-unreadable'; readonly message: string }
	| { readonly type: 'settings-malformed'; readonly message: string }
	| {
			readonly type: 'settings-invalid'
			/** Path of the first wrong setting, such as `listeners.callers.port`. */
			readonly setting: string
			readonly message: string
	  }
