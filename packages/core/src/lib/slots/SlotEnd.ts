/**
 * Reports that a grant has ended. `unused` means that no request used it in time, `full` that the
 * backend server refused the request because it had no free slot.
 *
 * @public
 */
export interface SlotEnd {
	/** Id of the grant. */
	readonly grant: string
	readonly result: 'unused' | 'success' | 'failure' | 'neutral' | 'full'
}
