import type { Settings } from './Settings.js'

/**
 * Address and optional TLS files of a listening port.
 *
 * @public
 */
export type ListenerSettings = Settings['listeners']['callers']
