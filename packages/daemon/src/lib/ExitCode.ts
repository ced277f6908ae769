/**
 * Exit codes of `masticheadd`.
 *
 * - 0: graceful shutdown after a signal, or `--check` found the settings valid
 * - 1: failed to start, or ended by an error
 * - 2: invalid command line
 * - 3: invalid settings
 *
 * @public
 */
export type ExitCode = 0 | 1 | 2 | 3
