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
	}
): void {
	const { instance, ip, store, cloud, link } = options
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
	if (link !== undefined) lines.push('[limits]', `link_mbps = ${link}`)
	writeFileSync(path, `${lines.join('\n')}\n`)
}
