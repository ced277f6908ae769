import type { WaveId } from '../ids/WaveId.js'
import type { Placement } from '../state/Placement.js'

/**
 * Whether a backend server is draining or in maintenance for a wave.
 *
 * @public
 */
export function isInWave(
	{ activity }: Placement,
	wave: WaveId,
	step: 'draining' | 'maintenance'
): boolean {
	if (activity.type === 'maintenance') return step === 'maintenance' && activity.wave === wave
	if (activity.type !== 'draining' || activity.reason !== 'wave') return false
	return step === 'draining' && activity.wave === wave
}
