/**
 * Where a task stands. `placed`: an order is or may be under way, or it runs. `done`, `failed` and
 * `dropped` are final; `dropped` belongs to a job that was cancelled or has failed.
 *
 * @public
 */
export type TaskPhase = 'pending' | 'placed' | 'done' | 'failed' | 'dropped'
