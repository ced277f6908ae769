import type { Settings } from './settings/Settings.js'

/** How grpc-js words the errors of a port that it cannot bind. */
const BIND_ERROR_PATTERN = /\b(EADDRINUSE|EACCES)\b.*:(\d+)\b/

/**
 * Puts an error at start on one line; an error of a listening port is led by the path of its
 * setting.
 *
 * @internal
 */
export function describeStartError(error: unknown, settings: Settings): string {
	if (!(error instanceof Error)) return String(error)
	const message = error.message.split('\n', 1)[0] ?? ''
	const { code, port } = getBindError(error)
	const listener = Object.entries(settings.listeners).find(([, row]) => row.port === port)
	if (!listener) return message
	const [name, row] = listener
	if (code === 'EADDRINUSE') return `listeners.${name}.port: ${row.host}:${row.port} is in use`
	if (code === 'EACCES') return `listeners.${name}.port: ${row.port} may not be opened`
	return `listeners.${name}: ${message}`
}

function getBindError(error: NodeJS.ErrnoException & { readonly port?: number }): {
	readonly code: string | undefined
	readonly port: number | undefined
} {
	if (error.port !== undefined) return { code: error.code, port: error.port }
	const [, code, port] = BIND_ERROR_PATTERN.exec(error.message) ?? []
	return { code, port: port === undefined ? undefined : Number(port) }
}
