import type { JobId } from '@mastichead/core'
import type { IntakeRecord } from '../intake/IntakeRecord.js'

/**
 * Creates a record of a caller that stands for no other one of its id.
 *
 * @internal
 */
export function createTestRecord(id: JobId, value = '{}'): IntakeRecord {
	return { id, keyPrefix: `submission/${id}`, value, identity: id }
}
