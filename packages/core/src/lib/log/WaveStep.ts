/**
 * Steps of a wave on one backend server.
 *
 * @public
 */
export type WaveStep = 'drain' | 'maintain' | 'finish' | 'fail' | 'abort'
