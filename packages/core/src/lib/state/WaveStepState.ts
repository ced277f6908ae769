/**
 * How far a wave is with one backend server. `skipped` stands for one that left the fleet.
 *
 * @public
 */
export type WaveStepState = 'waiting' | 'draining' | 'maintenance' | 'done' | 'failed' | 'skipped'
