/**
 * Decision to move a machine into the pool of another service.
 *
 * @public
 */
export interface MachineMove {
	readonly machine: string
	readonly from: string
	readonly to: string
}
