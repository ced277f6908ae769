import { uniformInt } from 'pure-rand/distribution/uniformInt'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import type { Random } from './Random.js'

/**
 * Creates a source of random choices that a seed determines.
 *
 * @public
 */
export function createRandom(seed: number): Random {
	const generator = xoroshiro128plus(seed)
	const integer = (minimum: number, maximum: number): number =>
		uniformInt(generator, minimum, maximum)
	const pick = <T>(items: readonly T[]): T => {
		const item = items[integer(0, items.length - 1)]
		if (item === undefined) throw new Error('nothing to pick from')
		return item
	}
	return { integer, pick }
}
