import type { RenewalRequest } from './ports/RenewalRequest.js'

/**
 * Remembers which start of a backend server's process has listed its runs over each connection. A
 * connection does not outlive the process at its other end, so what is sent over it reaches that
 * process or none.
 *
 * @public
 */
export class ConnectionIncarnations {
	private readonly incarnations = new WeakMap<object, number>()

	/** Records that an answer which arrived over the connection named this start of the process. */
	recordListing(connection: object, incarnation: number): void {
		this.incarnations.set(connection, incarnation)
	}

	/**
	 * Returns the number up to which ends may be acknowledged over the connection; 0 if it may lead to
	 * another process than the one that has counted them.
	 */
	getAcknowledgedThrough(
		connection: object,
		{ incarnation, through }: RenewalRequest['acknowledged']
	): number {
		return this.incarnations.get(connection) === incarnation ? through : 0
	}
}
