import type { LogManager } from '../log/LogManager.js'

/**
 * The members of the log manager that key management uses.
 *
 * @internal
 */
export type KeyLog = Pick<LogManager, 'state' | 'propose' | 'platformContactAt' | 'sharedOffset'>
