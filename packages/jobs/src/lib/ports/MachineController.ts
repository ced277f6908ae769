import type { Machine } from './Machine.js'
import type { MachineResult } from './MachineResult.js'

/**
 * The platform's control of machines.
 *
 * @public
 */
export abstract class MachineController {
	/** All machines; undefined if they cannot be read now. */
	abstract list(): Promise<readonly Machine[] | undefined>
	abstract maintain(machine: string, wave: number, token: number): Promise<MachineResult>
	abstract move(machine: string, service: string, token: number): Promise<MachineResult>
}
