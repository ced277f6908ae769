import type { ConfigurationModel } from './ConfigurationModel.js'

const common = { operators: 2, daemons: 2, applies: 1, copies: 2, appends: 3, restarts: 1 }

/**
 * Bounds within which the configuration model is searched, by the part of the protocol that they
 * exercise.
 *
 * @internal
 */
export const configurationSearches = {
	restarts: common,
	'applies in turn': { ...common, applies: 2, copies: 1, restarts: 0 },
} satisfies Record<string, ConstructorParameters<typeof ConfigurationModel>[0]>
