/**
 * Which tasks may have crashed a backend server.
 *
 * - `shared`: tasks of several jobs
 * - `sole`: only tasks of one job, which is to blame whichever of them it was
 *
 * @public
 */
export type CrashSuspicion = 'shared' | 'sole'
