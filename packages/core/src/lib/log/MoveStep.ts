/**
 * Steps of a move. The backend server drains, is reassigned to the other pool, and returns to service
 * once it is healthy.
 *
 * @public
 */
export type MoveStep = 'drain' | 'reassign' | 'finish' | 'abort'
