/**
 * What the crash of a backend server says about a task that was placed there.
 *
 * - `unconfirmed`: whether its run had begun is not known, so that the crash does not count against it
 * - `shared`: it may have caused the crash, as tasks of other jobs may have
 * - `sole`: only tasks of its job can have caused the crash
 *
 * @public
 */
export type CrashSuspicion = 'unconfirmed' | 'shared' | 'sole'
