/**
 * How far the withdrawal of a key has spread: `log`: recorded in the log; `peers`: only sent to the
 * reachable daemons, because the log is unreachable.
 *
 * @public
 */
export type WithdrawalStatus = 'log' | 'peers'
