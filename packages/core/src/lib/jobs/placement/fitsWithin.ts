import type { Resources } from '../Resources.js'

/**
 * Whether `needs` fit into the part of `capacity` that is not `used`.
 *
 * @public
 */
export function fitsWithin(needs: Resources, used: Resources, capacity: Resources): boolean {
	return (
		used.cpu + needs.cpu <= capacity.cpu &&
		used.memory + needs.memory <= capacity.memory &&
		used.gpu + needs.gpu <= capacity.gpu
	)
}
