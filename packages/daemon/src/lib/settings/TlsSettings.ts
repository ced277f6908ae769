import type { ListenerSettings } from './ListenerSettings.js'

/**
 * Files of a TLS listener. With `clientCertificateAuthorityFile`, clients must show a certificate
 * that this authority signed.
 *
 * @public
 */
export type TlsSettings = NonNullable<ListenerSettings['tls']>
