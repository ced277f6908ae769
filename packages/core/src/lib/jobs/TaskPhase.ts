/**
 * Phase of a task. `placed`: it runs, or its start order is or may be in flight. `done`, `failed` and
 * `dropped` are final; a task is `dropped` if its job was cancelled or failed.
 *
 * @public
 */
export type TaskPhase = 'pending' | 'placed' | 'done' | 'failed' | 'dropped'
