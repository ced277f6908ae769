/**
 * Says whether a request may have run on a backend server.
 *
 * - `not-run`: it did not run and will not
 * - `may-have-run`: it cannot be told
 * - `ran`: the backend server answered it
 *
 * @public
 */
export type Verdict = 'not-run' | 'may-have-run' | 'ran'
