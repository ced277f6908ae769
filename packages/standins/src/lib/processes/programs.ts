import { fileURLToPath } from 'node:url'

function getPath(path: string): string {
	return fileURLToPath(new URL(path, import.meta.url))
}

/**
 * Paths of the programs, as built.
 *
 * @public
 */
export const programs = {
	platform: getPath('../../platform.js'),
	backend: getPath('../../backend.js'),
	daemon: getPath('../../../../daemon/bin/masticheadd.js'),
	commandLine: getPath('../../../../cli/bin/mastichead.js'),
} as const
