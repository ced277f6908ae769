import type { BackendRow } from '@mastichead/core'

/** Difference from the expected clock from which a server must have started again, in milliseconds. */
const CLOCK_JUMP = 2_000

/**
 * Detects from the clock in an answer that a backend server has started again under its id. It then
 * counts the ends of its runs anew, so that an acknowledgement of the count before would drop ends
 * that nobody has read.
 *
 * @param clock - the server's clock in the answer, in milliseconds; 0 if it named none
 * @param now - monotonic instant of the answer, in milliseconds
 * @internal
 */
export function detectRestart(row: BackendRow, clock: number, now: number): boolean {
	if (!row.reconciled || clock === 0) return false
	if (Math.abs(clock - now - row.clockOffset) < CLOCK_JUMP) return false
	row.clockOffset = clock - now
	row.clockReadAt = now
	row.lastProcessedEnd = 0
	row.lastAcknowledgedEnd = 0
	return true
}
