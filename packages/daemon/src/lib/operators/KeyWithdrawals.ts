import type { KeyId, ProposalId } from '@mastichead/core'
import type { WithdrawalOutcome } from './WithdrawalOutcome.js'

/**
 * Withdraws caller keys: here at once, at reachable peers next, and in the log as soon as it
 * answers.
 *
 * @public
 */
export abstract class KeyWithdrawals {
	/** Resolves when the log has it, or when the log cannot be reached for now. Never rejects. */
	abstract withdraw(request: {
		readonly id: ProposalId
		readonly key: KeyId
		readonly operator: string
	}): Promise<WithdrawalOutcome>
}
