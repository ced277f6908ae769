import { fileURLToPath } from 'node:url'

/** Tests import this module from source, but the programs must run from the build output. */
const builtModuleUrl = import.meta.url.replace('/standins/src/', '/standins/dist/')

function getProgramPath(path: string): string {
	return fileURLToPath(new URL(path, builtModuleUrl))
}

/**
 * Paths of the built programs.
 *
 * @public
 */
export const programs = {
	platform: getProgramPath('../../platform.js'),
	backend: getProgramPath('../../backend.js'),
	daemon: getProgramPath('../../../../daemon/bin/masticheadd.js'),
	commandLine: getProgramPath('../../../../cli/bin/mastichead.js'),
} as const
