/**
 * How far the withdrawal of a key has spread.
 *
 * - `log`: it is recorded in the log
 * - `peers`: it was only sent to the reachable daemons, because the log is unreachable
 *
 * @public
 */
export type WithdrawalStatus = 'log' | 'peers'
