import type { Settings } from './settings/Settings.js'

/**
 * Puts an error at start on one line; an error of a listening port is led by the path of its
 * setting.
 *
 * @internal
 */
export function describeStartError(error: unknown, settings: Settings): string {
	if (!(error instanceof Error)) return String(error)
	const { code, port } = error as NodeJS.ErrnoException & { readonly port?: number }
	const message = error.message.split('\n', 1)[0] ?? ''
	const listener = Object.entries(settings.listeners).find(([, row]) => row.port === port)
	if (!listener) return message
	const [name, row] = listener
	if (code === 'EADDRINUSE') return `listeners.${name}.port: ${row.host}:${row.port} is in use`
	if (code === 'EACCES') return `listeners.${name}.port: ${row.port} may not be opened`
	return `listeners.${name}: ${message}`
}
