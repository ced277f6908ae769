/**
 * An order for a machine as stored in the log before it is sent.
 *
 * @public
 */
export interface MachineOrder {
	/** Fencing token of the owner that sends it. */
	readonly token: number
	/** When the record was written, in milliseconds since 1970. */
	readonly recordedAt: number
}
