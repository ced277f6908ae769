/**
 * What the owner knows of the order behind a placed task. `recorded`: not sent yet; `sent`: no
 * answer yet; `unclear`: the answer is missing; `confirmed`: the backend server has taken it;
 * `barred`: a stop was answered, so that the run can no longer begin; `inherited`: an earlier owner
 * recorded it, and it can no longer begin once the server has seen the present token.
 *
 * @public
 */
export type StartOrderState = 'recorded' | 'sent' | 'unclear' | 'confirmed' | 'barred' | 'inherited'
