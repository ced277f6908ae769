/**
 * Why a usable backend server cannot host a task of a step.
 *
 * - `label`: it lacks the label that the step requires
 * - `sibling-limit`: it has as many tasks of the step as the step allows on one server
 * - `room`: it lacks the resources
 *
 * @public
 */
export type HostRefusal = 'label' | 'sibling-limit' | 'room'
