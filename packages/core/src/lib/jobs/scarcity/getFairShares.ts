/**
 * Divides a scarce amount among claims by weighted max-min fairness: everyone gets as much as its weight
 * says, but nobody more than claimed; what small claims leave is divided among the larger ones.
 *
 * @param claims - claimed amount by claimant
 * @param getWeight - returns the weight of a claimant; the same for all by default
 * @param round - rounds a share; whole numbers by default
 * @public
 */
export function getFairShares(
	claims: ReadonlyMap<string, number>,
	amount: number,
	getWeight: (claimant: string) => number = () => 1,
	round: (share: number) => number = Math.floor
): Map<string, number> {
	const rows = [...claims].map(([claimant, claim]) => ({
		claimant,
		claim,
		weight: Math.max(Number.MIN_VALUE, getWeight(claimant)),
	}))
	rows.sort((a, b) => a.claim / a.weight - b.claim / b.weight)
	const shares = new Map<string, number>()
	let remaining = Math.max(0, amount)
	let remainingWeight = rows.reduce((sum, { weight }) => sum + weight, 0)
	for (const { claimant, claim, weight } of rows) {
		const part = remainingWeight > 0 ? Math.min(1, weight / remainingWeight) : 1
		const share = Math.min(claim, round(remaining * part))
		shares.set(claimant, share)
		remaining -= share
		remainingWeight -= weight
	}
	return shares
}
