/**
 * Why the process of a backend server ended, as far as the owner can tell.
 *
 * - `crash`: it ended by itself
 * - `drain`: it had reported that it was draining
 * - `machine-order`: an owner had ordered its machine to move or to be serviced
 * - `unseen`: it had not answered for some time before, so that its end was not seen
 *
 * @internal
 */
export type ProcessEndCause = 'crash' | 'drain' | 'machine-order' | 'unseen'
