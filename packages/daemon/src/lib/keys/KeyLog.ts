import type { LogManager } from '../log/LogManager.js'

/**
 * What the keys need of the log.
 *
 * @internal
 */
export type KeyLog = Pick<LogManager, 'state' | 'propose' | 'platformContactAt' | 'sharedOffset'>
