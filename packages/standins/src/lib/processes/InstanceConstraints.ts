/**
 * What one entry instance of a deployment has other than the defaults.
 *
 * @public
 */
export interface InstanceConstraints {
	/** Name of the entry instance. */
	readonly instance: string
	/** Options of Node.js, such as the limit of the heap. */
	readonly nodeOptions?: readonly string[]
	/** TLS files of the ports for callers and operators; plain by default. */
	readonly tls?: { readonly certificateFile: string; readonly keyFile: string }
	/** Limits of its settings that differ from their defaults, by name. */
	readonly limits?: Readonly<Record<string, number>>
}
