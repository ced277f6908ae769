/**
 * How far the platform is with the maintenance of one backend server for one wave.
 *
 * - `unknown`: the platform did not answer
 * - `absent`: it was not asked yet
 *
 * @public
 */
export type MaintenanceProgress = 'unknown' | 'absent' | 'running' | 'done' | 'failed'
