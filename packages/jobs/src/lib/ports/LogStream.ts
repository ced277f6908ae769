import type { IntakeStream } from './IntakeStream.js'

/**
 * A stream of keyed records in the platform's metadata log.
 *
 * - `intake/…`: submissions and cancellations of callers
 * - `progress`: decisions of the owner
 * - `operator`: the operator's configuration and maintenance waves
 * - `backends`: registrations of backend servers
 * - `reports`: reports to the operator
 *
 * @public
 */
export type LogStream = IntakeStream | 'progress' | 'operator' | 'backends' | 'reports'
