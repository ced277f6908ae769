/**
 * Exit codes of `masticheadd`.
 *
 * - 0: stopped by a signal after a graceful shutdown, or `--check` found no fault
 * - 1: failed to start, or ended by an error
 * - 2: wrong use of the command line
 * - 3: the settings cannot be used
 *
 * @public
 */
export type ExitCode = 0 | 1 | 2 | 3
