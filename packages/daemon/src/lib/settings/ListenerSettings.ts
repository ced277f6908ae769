import type { Settings } from './Settings.js'

/**
 * Address and optional TLS files of one listening port.
 *
 * @public
 */
export type ListenerSettings = Settings['listeners']['callers']
