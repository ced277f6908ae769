import { ClaimHandler } from './ClaimHandler.js'

/**
 * Answers every claim so that nothing runs.
 *
 * @internal
 */
export class UnconnectedClaimHandler extends ClaimHandler {
	override claim(): string {
		return 'may-have-run'
	}

	override settle(): void {
		return
	}
}
