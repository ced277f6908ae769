import { readFileSync } from 'node:fs'
import type { SecureContextOptions } from 'node:tls'
import type { TlsSettings } from '../settings/TlsSettings.js'

/**
 * Reads the certificate, key and certificate authority of a TLS listener, and detects changes.
 *
 * @internal
 */
export class TlsFiles {
	/** Content of all files at the last read. */
	private content = ''

	constructor(private readonly settings: TlsSettings) {}

	/** Whether clients must present a certificate. */
	get requiresClientCertificate(): boolean {
		return this.settings.clientCertificateAuthorityFile !== undefined
	}

	/** Reads the files; throws if one cannot be read. */
	read(): SecureContextOptions {
		const { certificateFile, keyFile, clientCertificateAuthorityFile } = this.settings
		const cert = readFileSync(certificateFile, 'utf8')
		const key = readFileSync(keyFile, 'utf8')
		if (clientCertificateAuthorityFile === undefined) {
			this.content = cert + key
			return { cert, key }
		}
		const ca = readFileSync(clientCertificateAuthorityFile, 'utf8')
		this.content = cert + key + ca
		return { cert, key, ca }
	}

	/** Reads the files; returns undefined if they have not changed since the last read. */
	readIfChanged(): SecureContextOptions | undefined {
		const before = this.content
		const options = this.read()
		return this.content === before ? undefined : options
	}
}
