/**
 * Health of a backend server as its observers among the entry instances report it.
 *
 * - `healthy`: fewer than half of the observers report it as failed
 * - `failed`: more than half of the observers, and at least two, report it as failed
 * - `unknown`: exactly half of the observers or the only one reports it as failed, or there is no
 *   observer
 *
 * @public
 */
export type Health = 'healthy' | 'failed' | 'unknown'
