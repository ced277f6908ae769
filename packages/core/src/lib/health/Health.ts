/**
 * Health of a backend server as its observers among the entry instances report it.
 *
 * - `healthy`: a majority of the observers does not report it as failed
 * - `failed`: a majority of the observers, and at least two of them, report it as failed
 * - `unknown`: the reports are evenly split, or too few observers are left to decide
 *
 * @public
 */
export type Health = 'healthy' | 'failed' | 'unknown'
