/**
 * State of the start order of a placed task.
 *
 * - `recorded`: not sent yet
 * - `sent`: waiting for the answer
 * - `unclear`: the answer is missing, so the run may or may not start
 * - `confirmed`: accepted by the backend server
 * - `barred`: a stop order was accepted, so the run can no longer start
 * - `inherited`: recorded by an earlier owner, and unable to start once the server has seen the
 *   current token
 *
 * @public
 */
export type StartOrderState = 'recorded' | 'sent' | 'unclear' | 'confirmed' | 'barred' | 'inherited'
