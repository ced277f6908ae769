import type { Resources } from './Resources.js'

/**
 * Nothing of anything.
 *
 * @public
 */
export const noResources: Resources = { cpu: 0, memory: 0, gpu: 0 }
