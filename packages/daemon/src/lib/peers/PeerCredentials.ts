import { ChannelCredentials, experimental, ServerCredentials } from '@grpc/grpc-js'
import type { Settings } from '../settings/Settings.js'

/** Time between checks of the TLS files for changes. */
const TLS_RELOAD_INTERVAL_MILLISECONDS = 5_000

/**
 * Credentials of the peer port and of calls to peers. With TLS, both sides present a certificate of
 * the same authority, and changed files are loaded without a restart. Without TLS, calls are in
 * plain text.
 *
 * @public
 */
export class PeerCredentials {
	/** Credentials of the peer port. */
	readonly server: ServerCredentials
	/** Credentials for calls to peers. */
	readonly channel: ChannelCredentials

	constructor(
		tls: Settings['listeners']['peers']['tls'],
		refreshInterval = TLS_RELOAD_INTERVAL_MILLISECONDS
	) {
		if (!tls) {
			this.server = ServerCredentials.createInsecure()
			this.channel = ChannelCredentials.createInsecure()
			return
		}
		const files = new experimental.FileWatcherCertificateProvider({
			certificateFile: tls.certificateFile,
			privateKeyFile: tls.keyFile,
			caCertificateFile: tls.clientCertificateAuthorityFile,
			refreshIntervalMs: refreshInterval,
		})
		this.server = experimental.createCertificateProviderServerCredentials(files, files, true)
		this.channel = experimental.createCertificateProviderChannelCredentials(files, files)
	}
}
