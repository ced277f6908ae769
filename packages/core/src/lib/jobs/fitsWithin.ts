import type { Resources } from './Resources.js'

/**
 * Whether `needs` fit beside `used` within `capacity`.
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
