/**
 * What the owner knows of the order behind a placed task. `recorded`: not sent yet; `sent`: no
 * answer yet; `unclear`: the answer is missing; `confirmed`: the backend server has taken it;
 * `barred`: a stop was answered, so that the run can no longer begin.
 *
 * @public
 */
export type OrderStage = 'recorded' | 'sent' | 'unclear' | 'confirmed' | 'barred'
