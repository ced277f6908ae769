import type { Resources } from './Resources.js'

/**
 * Zero of every resource.
 *
 * @public
 */
export const noResources: Resources = { cpu: 0, memory: 0, gpu: 0 }
