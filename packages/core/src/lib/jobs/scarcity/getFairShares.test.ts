import { expect, it } from 'vitest'
import { getFairShares } from './getFairShares.js'

it('gives small claims in full and divides the rest evenly', () => {
	const claims = new Map([
		['large', 235],
		['small', 4],
		['second', 103],
	])
	expect([...getFairShares(claims, 207)].sort()).toEqual([
		['large', 102],
		['second', 101],
		['small', 4],
	])
})

it('never gives more than there is, and leaves nothing that is claimed', () => {
	for (let amount = 0; amount <= 20; amount += 1) {
		const claims = new Map([7, 0, 3, 12].map((claim, index) => [`${index}`, claim]))
		const shares = [...getFairShares(claims, amount).values()]
		expect(shares.reduce((sum, share) => sum + share, 0)).toBe(Math.min(amount, 22))
	}
})
