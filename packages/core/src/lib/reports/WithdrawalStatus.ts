/**
 * How far the withdrawal of a key has come: accepted in the log, or only spread to reachable
 * daemons until the log can be reached.
 *
 * @public
 */
export type WithdrawalStatus = 'log' | 'peers'
