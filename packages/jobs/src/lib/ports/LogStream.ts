import type { IntakeStream } from './IntakeStream.js'

/**
 * A stream of keyed records in the platform's metadata log. `intake/…`: what callers asked for;
 * `progress`: what the owner has decided; `operator`: the operator's configuration and waves;
 * `backends`: the registrations of backend servers; `reports`: what the operator reads.
 *
 * @public
 */
export type LogStream = IntakeStream | 'progress' | 'operator' | 'backends' | 'reports'
