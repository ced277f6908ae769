import { z } from 'zod'
import { backendServerSchema } from './backendServerSchema.js'
import { nameSchema } from './nameSchema.js'
import { poolSchema } from './poolSchema.js'
import { queueSchema } from './queueSchema.js'
import { teamSchema } from './teamSchema.js'

const DEFAULT_MINIMUM_AVAILABLE = 0
const DEFAULT_MAXIMUM_UNAVAILABLE = 1
const DEFAULT_SHARE = 1
const DEFAULT_TIMEOUT_MILLISECONDS = 30_000
const DEFAULT_RUN_MILLISECONDS = 60_000
const DEFAULT_MAXIMUM_QUEUED = 1000
const DEFAULT_SLOTS = 8
const DEFAULT_CONNECTIONS = 64

/**
 * Schema of a fleet file. Rows may omit these fields, which then have the following defaults:
 *
 * - pools: `spare` false, `minimumAvailable` 0, `maximumUnavailable` 1
 * - queues: `urgency` ordinary, `timeoutMilliseconds` 30000, `runMilliseconds` 60000,
 *   `maximumQueued` 1000, `teams` all teams
 * - teams: `share` 1
 * - backend servers: `slots` 8, `connections` 64
 *
 * @internal
 */
export const fleetFileSchema = z.strictObject({
	name: nameSchema,
	availabilityZones: z.array(nameSchema).min(1),
	pools: z.array(
		poolSchema.extend({
			spare: poolSchema.shape.spare.default(false),
			minimumAvailable: poolSchema.shape.minimumAvailable.default(DEFAULT_MINIMUM_AVAILABLE),
			maximumUnavailable: poolSchema.shape.maximumUnavailable.default(DEFAULT_MAXIMUM_UNAVAILABLE),
		})
	),
	queues: z
		.array(
			queueSchema.extend({
				urgency: queueSchema.shape.urgency.default('ordinary'),
				timeoutMilliseconds: queueSchema.shape.timeoutMilliseconds.default(
					DEFAULT_TIMEOUT_MILLISECONDS
				),
				runMilliseconds: queueSchema.shape.runMilliseconds.default(DEFAULT_RUN_MILLISECONDS),
				maximumQueued: queueSchema.shape.maximumQueued.default(DEFAULT_MAXIMUM_QUEUED),
			})
		)
		.default([]),
	teams: z
		.array(teamSchema.extend({ share: teamSchema.shape.share.default(DEFAULT_SHARE) }))
		.default([]),
	backendServers: z
		.array(
			backendServerSchema.extend({
				slots: backendServerSchema.shape.slots.default(DEFAULT_SLOTS),
				connections: backendServerSchema.shape.connections.default(DEFAULT_CONNECTIONS),
			})
		)
		.default([]),
})
