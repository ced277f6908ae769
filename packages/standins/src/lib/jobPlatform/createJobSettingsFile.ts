import { writeFileSync } from 'node:fs'

/**
 * Writes a settings file in the platform's format.
 *
 * @public
 */
export function createJobSettingsFile(
	path: string,
	options: {
		readonly instance: string
		readonly ip: string
		readonly store: string
		readonly cloud?: string
		/** Capacity of the instance's network link, in megabits per second. */
		readonly link?: number
		/** Memory of the instance, in megabytes. */
		readonly memory?: number
		/** Descriptors that a process of the instance may have open. */
		readonly descriptors?: number
	}
): void {
	const { instance, ip, store, cloud, link, memory, descriptors } = options
	const lines = [
		`node = "${instance}"`,
		'zone = "a"',
		`ip = "${ip}"`,
		'unknown_field = "ignored"',
		'[listen]',
		`front = "${ip}:8340"`,
		`ready = "${ip}:8343"`,
		'[bounds]',
		'grace_s = 6',
		'status_s = 120',
		'[platform]',
		`address = "${store}"`,
		'parts = 24',
	]
	if (cloud !== undefined) lines.push('[cloud]', `address = "${cloud}"`)
	lines.push('[limits]')
	if (link !== undefined) lines.push(`link_mbps = ${link}`)
	if (memory !== undefined) lines.push(`memory_mb = ${memory}`)
	if (descriptors !== undefined) lines.push(`max_fds = ${descriptors}`)
	writeFileSync(path, `${lines.join('\n')}\n`)
}
