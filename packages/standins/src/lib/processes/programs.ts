import { fileURLToPath } from 'node:url'

/** Tests run this module from source, but programs as built. */
const base = import.meta.url.replace('/standins/src/', '/standins/dist/')

function getPath(path: string): string {
	return fileURLToPath(new URL(path, base))
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
