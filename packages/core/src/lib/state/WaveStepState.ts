/**
 * State of one backend server in a wave. `skipped` means that it has left the fleet.
 *
 * @public
 */
export type WaveStepState = 'waiting' | 'draining' | 'maintenance' | 'done' | 'failed' | 'skipped'
