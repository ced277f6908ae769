/**
 * How a run of a task ended. `failed`: the task or its backend server failed; `lapsed`: its lease
 * expired; `broken`: another member of its gang ended; `alone`: the other members of its gang did
 * not start in time; `lost`: its backend server is gone.
 *
 * @public
 */
export type RunEnding = 'done' | 'failed' | 'stopped' | 'lapsed' | 'broken' | 'alone' | 'lost'
