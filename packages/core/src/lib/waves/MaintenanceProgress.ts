/**
 * Progress of the maintenance of one backend server for one wave, as the platform reports it.
 *
 * - `unknown`: the platform did not answer
 * - `absent`: the maintenance was not requested yet
 *
 * @public
 */
export type MaintenanceProgress = 'unknown' | 'absent' | 'running' | 'done' | 'failed'
