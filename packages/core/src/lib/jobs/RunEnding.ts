/**
 * How a run of a task ended on a backend server. `failed`: through its own fault or the server's;
 * `lapsed`: its lease ran out; `broken`: another member of its gang ended; `alone`: the other
 * members did not come in time; `lost`: the backend server that ran it is gone.
 *
 * @public
 */
export type RunEnding = 'done' | 'failed' | 'stopped' | 'lapsed' | 'broken' | 'alone' | 'lost'
