import type { z } from 'zod'
import type { settingsSchema } from './settingsSchema.js'

/**
 * Checked settings of one daemon, with every default filled in. docs/interface.md documents each.
 *
 * @public
 */
export type Settings = Readonly<z.output<typeof settingsSchema>>
