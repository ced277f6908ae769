/**
 * How calls to a backend server began to fail.
 *
 * - `closed`: connections were refused, reset or closed, so that its process may have ended
 * - `silence`: answers did not come, so that it may run on out of reach
 *
 * @public
 */
export type ContactLoss = 'closed' | 'silence'
