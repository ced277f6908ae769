import type { MetricsManager } from '../metrics/MetricsManager.js'
import type { KeyWithdrawals } from './KeyWithdrawals.js'
import type { ProposalLog } from './ProposalLog.js'
import type { StatusSource } from './StatusSource.js'

/**
 * What the resources of the operators' server work on.
 *
 * @public
 */
export interface OperatorContext {
	readonly log: ProposalLog
	readonly keys: KeyWithdrawals
	readonly status: StatusSource
	readonly metrics: MetricsManager
}
