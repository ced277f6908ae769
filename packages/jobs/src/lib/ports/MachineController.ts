import type { Machine } from './Machine.js'
import type { MachineOrderResult } from './MachineOrderResult.js'

/**
 * Controls the machines through the platform.
 *
 * @public
 */
export abstract class MachineController {
	/** Lists all machines; undefined if the platform gives no complete list. */
	abstract list(): Promise<readonly Machine[] | undefined>

	/**
	 * Takes a machine down for maintenance.
	 *
	 * @param token - fencing token of the owner
	 */
	abstract maintain(machine: string, wave: number, token: number): Promise<MachineOrderResult>

	/**
	 * Moves a machine to the pool of a service.
	 *
	 * @param token - fencing token of the owner
	 */
	abstract move(machine: string, service: string, token: number): Promise<MachineOrderResult>
}
