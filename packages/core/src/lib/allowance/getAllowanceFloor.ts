/**
 * Returns the part of an allowance that stays usable for the floor lease when heartbeats stop.
 *
 * @param amount - whole allowance, in units
 *
 * @public
 */
export function getAllowanceFloor(amount: number): number {
	return Math.floor(amount / 2)
}
