import type { Resources } from './Resources.js'

/**
 * Returns `base` plus `factor` times `other`.
 *
 * @public
 */
export function addResources(base: Resources, other: Resources, factor = 1): Resources {
	return {
		cpu: base.cpu + factor * other.cpu,
		memory: base.memory + factor * other.memory,
		gpu: base.gpu + factor * other.gpu,
	}
}
