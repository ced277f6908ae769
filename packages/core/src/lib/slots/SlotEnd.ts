/**
 * The end of a grant. `full`: the backend server refused the request for want of a slot.
 *
 * @public
 */
export interface SlotEnd {
	readonly grant: string
	readonly result: 'unused' | 'success' | 'failure' | 'neutral' | 'full'
}
