import type { z } from 'zod'
import type { settingsSchema } from './settingsSchema.js'

/**
 * Validated settings of a daemon, including defaults. docs/interface.md documents each setting.
 *
 * @public
 */
export type Settings = Readonly<z.output<typeof settingsSchema>>
