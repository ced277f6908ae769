/**
 * Crashes of backend servers after which a task is given up, if its job alone can have caused the latest.
 *
 * @public
 */
export const MAXIMUM_CRASHES = 2
