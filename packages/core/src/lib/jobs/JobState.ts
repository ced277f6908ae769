/**
 * State of a job as callers see it.
 *
 * @public
 */
export type JobState = 'queued' | 'running' | 'completed' | 'failed' | 'cancelled'
