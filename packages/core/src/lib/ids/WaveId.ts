/**
 * Name of a maintenance wave.
 *
 * @public
 */
export type WaveId = string & { readonly __id?: 'wave' }
