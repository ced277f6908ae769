import type { ListenerSettings } from './ListenerSettings.js'

/**
 * Files of a TLS listener. With `clientCertificateAuthorityFile`, clients must present a
 * certificate signed by this authority.
 *
 * @public
 */
export type TlsSettings = NonNullable<ListenerSettings['tls']>
