/**
 * How a run of a task ended.
 *
 * - `done`: the task succeeded
 * - `failed`: the task or its backend server failed
 * - `stopped`: it was stopped by an order, or was never started
 * - `lapsed`: its lease expired
 * - `broken`: another member of its gang ended
 * - `alone`: the other members of its gang did not start in time
 * - `lost`: its backend server is gone or no longer lists it
 *
 * @public
 */
export type RunEnding = 'done' | 'failed' | 'stopped' | 'lapsed' | 'broken' | 'alone' | 'lost'
