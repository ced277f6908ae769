import type { KeyManager } from '../keys/KeyManager.js'
import type { LogManager } from '../log/LogManager.js'
import type { MetricsManager } from '../metrics/MetricsManager.js'
import type { StatusSource } from './StatusSource.js'

/**
 * Dependencies of the operator resources.
 *
 * @public
 */
export interface OperatorContext {
	readonly log: Pick<LogManager, 'state' | 'propose'>
	readonly keys: Pick<KeyManager, 'withdraw'>
	readonly status: StatusSource
	readonly metrics: MetricsManager
}
