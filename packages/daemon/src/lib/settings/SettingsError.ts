/**
 * Why settings could not be loaded.
 *
 * - `settings-unreadable`: the file cannot be read
 * - `settings-malformed`: the text is not valid YAML
 * - `settings-invalid`: a setting is unknown, missing or has an invalid value
 *
 * @public
 */
export type SettingsError =
	| { readonly type: 'settings-unreadable'; readonly message: string }
	| { readonly type: 'settings-malformed'; readonly message: string }
	| {
			readonly type: 'settings-invalid'
			/** Path of the first invalid setting, such as `listeners.callers.port`. */
			readonly setting: string
			readonly message: string
	  }
