/**
 * Settings of a soak.
 *
 * @public
 */
export interface SoakOptions {
	readonly seed: number
	/** Milliseconds in which traffic and faults go on. */
	readonly duration: number
	readonly instances: number
	readonly servers: number
	/** Milliseconds between two submissions. */
	readonly submissionInterval: number
	/** Third number of the loopback addresses, 127.0.NETWORK.x; soaks beside each other need others. */
	readonly network: number
	/** File of the built daemon. */
	readonly program: string
	/** Folder for settings and for the output of the instances. */
	readonly folder: string
}
