import type { BackendRow } from '../BackendRow.js'
import type { Resources } from '../Resources.js'

/**
 * Whether a backend server has free what a task reserves. Allocates nothing, since a plan asks it for every
 * waiting step and server.
 *
 * @internal
 */
export function hasRoom(needs: Resources, { capacity, used, unexpected }: BackendRow): boolean {
	return (
		used.cpu + unexpected.cpu + needs.cpu <= capacity.cpu &&
		used.memory + unexpected.memory + needs.memory <= capacity.memory &&
		used.gpu + unexpected.gpu + needs.gpu <= capacity.gpu
	)
}
