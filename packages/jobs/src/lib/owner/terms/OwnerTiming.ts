/**
 * Times by which the instances agree on an owner, all in milliseconds.
 *
 * @public
 */
export const OwnerTiming = {
	/** Time without a join after which the log removes a member from the group. */
	membershipTimeout: 1_200,

	/** Interval at which the owner writes a record to the progress stream, so that others see it. */
	heartbeatInterval: 1_000,

	/**
	 * Time without a record of an owner after which an instance that is not preferred joins the group.
	 * Longer than a heartbeat, the takeover by a preferred instance and the way of its first record.
	 */
	standbyDelay: 3_500,
} as const
