import type { Verdict } from './Verdict.js'

const ranks: Readonly<Record<Verdict, number>> = { 'not-run': 0, 'may-have-run': 1, ran: 2 }

/**
 * Combines the verdicts of two attempts at one request: `ran` over `may-have-run` over `not-run`.
 *
 * @public
 */
export function combineVerdicts(left: Verdict, right: Verdict): Verdict {
	return ranks[left] >= ranks[right] ? left : right
}
