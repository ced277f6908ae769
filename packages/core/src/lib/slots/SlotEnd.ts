/**
 * Reports that a grant has ended.
 *
 * - `unused`: no request used it in time
 * - `success`, `failure`: how the request ended
 * - `neutral`: the request ended without a result of the backend server, for example because the
 *   caller disconnected
 * - `full`: the backend server refused the request because it had no free slot
 *
 * @public
 */
export interface SlotEnd {
	/** Id of the grant. */
	readonly grant: string
	readonly result: 'unused' | 'success' | 'failure' | 'neutral' | 'full'
}
