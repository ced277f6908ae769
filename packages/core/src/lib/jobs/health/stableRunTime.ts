/**
 * Duration of a run after which a crash of its backend server is not put down to its task, nor any crash
 * before, in milliseconds.
 *
 * @public
 */
export const STABLE_RUN_TIME = 5_000
