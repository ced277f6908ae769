/**
 * Exit codes of `mastichead`.
 *
 * - 0: done
 * - 1: refused: rejected, invalid or not found; nothing changed
 * - 2: wrong use of the command line, or a file that cannot be read
 * - 3: no daemon could be reached, or none reached the platform's log; nothing changed
 * - 4: the outcome of a change is unknown; the message says how to settle it
 * - 5: the operator token was refused
 *
 * @public
 */
export type ExitCode = 0 | 1 | 2 | 3 | 4 | 5
