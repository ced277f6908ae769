/**
 * Steps of a move: the backend server drains, changes its pool, and is in service again once healthy.
 *
 * @public
 */
export type MoveStep = 'drain' | 'reassign' | 'finish' | 'abort'
