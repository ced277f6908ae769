import type { Resources } from './Resources.js'

/**
 * More of every resource than there is, as the use of a run whose needs are not known.
 *
 * @public
 */
export const unlimitedResources: Resources = { cpu: Infinity, memory: Infinity, gpu: Infinity }
