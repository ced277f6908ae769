import type { Settings } from './settings/Settings.js'

/** Matches the messages of grpc-js errors for a port that cannot be bound. */
const BIND_ERROR_PATTERN = /\b(EADDRINUSE|EACCES)\b.*:(\d+)\b/

/**
 * Formats a startup error on one line. The error of a listening port starts with the path of its
 * setting.
 *
 * @internal
 */
export function describeStartError(error: unknown, settings: Settings): string {
	if (!(error instanceof Error)) return String(error)
	const message = error.message.split('\n', 1)[0] ?? ''
	const { code, port } = getBindError(error)
	const match = Object.entries(settings.listeners).find(([, listener]) => listener.port === port)
	if (!match) return message
	const [name, listener] = match
	if (code === 'EADDRINUSE')
		return `listeners.${name}.port: ${listener.host}:${listener.port} is in use`
	if (code === 'EACCES') return `listeners.${name}.port: ${listener.port} may not be opened`
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
