import { z } from 'zod'
import { backendServerSchema } from './backendServerSchema.js'
import { nameSchema } from './nameSchema.js'
import { poolSchema } from './poolSchema.js'
import { queueSchema } from './queueSchema.js'
import { teamSchema } from './teamSchema.js'

function tablePatchSchema<Row extends z.ZodType>(row: Row) {
	return z.strictObject({ put: z.array(row), remove: z.array(nameSchema) })
}

/**
 * Schema of a fleet patch. Rows must have all fields; defaults only apply to the fleet file.
 *
 * @internal
 */
export const fleetPatchSchema = z.strictObject({
	name: nameSchema,
	availabilityZones: z.array(nameSchema).min(1),
	pools: tablePatchSchema(poolSchema),
	queues: tablePatchSchema(queueSchema),
	teams: tablePatchSchema(teamSchema),
	backendServers: tablePatchSchema(backendServerSchema),
})
