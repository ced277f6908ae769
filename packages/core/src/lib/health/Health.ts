/**
 * What the entry instances together know of a backend server.
 *
 * - `healthy`: most of its observers reach it
 * - `failed`: most of its observers, and at least two, report it as failed
 * - `unknown`: its observers disagree, or there are none
 *
 * @public
 */
export type Health = 'healthy' | 'failed' | 'unknown'
