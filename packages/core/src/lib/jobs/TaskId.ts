/**
 * Identifies a task of a job: `JOB.OCCURRENCE.STEP.INDEX`, each number counted from 0.
 *
 * @public
 */
export type TaskId = string
