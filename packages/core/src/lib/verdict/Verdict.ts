/**
 * Whether a request ran on a backend server.
 *
 * - `not-run`: it did not run and will not run
 * - `may-have-run`: it is unknown whether it ran
 * - `ran`: the backend server answered it
 *
 * @public
 */
export type Verdict = 'not-run' | 'may-have-run' | 'ran'
