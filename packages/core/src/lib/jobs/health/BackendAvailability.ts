/**
 * Whether a backend server can take work, and otherwise why it cannot.
 *
 * - `usable`: it can take tasks now
 * - `unregistered`: the registry does not list it as ready
 * - `closing`: it is draining, its machine is being drained for maintenance or a move, or its availability
 *   zone is being evacuated
 * - `unreachable`: calls to it fail
 * - `unlisted`: the owner has not yet read which tasks it runs
 * - `avoided`: it gets no tasks for a time, because runs or orders failed
 *
 * @public
 */
export type BackendAvailability =
	'usable' | 'unregistered' | 'closing' | 'unreachable' | 'unlisted' | 'avoided'
