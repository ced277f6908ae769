import type { Verdict } from './Verdict.js'

const ranks: Readonly<Record<Verdict, number>> = { 'not-run': 0, 'may-have-run': 1, ran: 2 }

/**
 * Joins the verdicts of two attempts at the same request: what may have run once stays so.
 *
 * @public
 */
export function combineVerdicts(left: Verdict, right: Verdict): Verdict {
	return ranks[left] >= ranks[right] ? left : right
}
