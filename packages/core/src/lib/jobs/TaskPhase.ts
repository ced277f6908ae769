/**
 * Phase of a task.
 *
 * - `pending`: it waits to be placed
 * - `placed`: it runs, or its start order is or may be in flight
 * - `done`: it succeeded; final
 * - `failed`: it has failed as often as its queue allows, or crashed servers; final
 * - `dropped`: its job was cancelled or failed before it was done; final
 *
 * @public
 */
export type TaskPhase = 'pending' | 'placed' | 'done' | 'failed' | 'dropped'
