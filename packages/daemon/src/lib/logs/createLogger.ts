import { createLogger as createWinstonLogger, format, type Logger, transports } from 'winston'
import { formatLogLine } from './formatLogLine.js'

/**
 * Creates a logger that writes one line of `key=value` pairs for each event. The message is the
 * stable name of the event; the metadata are its fields.
 *
 * @example
 * ```ts
 * logger.info('request-ended', { requestId, team, verdict })
 * ```
 *
 * @param options.level - lowest severity written; default `info`
 * @param options.fields - fields added to every line, such as the instance
 * @param options.stream - output stream; default standard output
 * @public
 */
export function createLogger(
	options: {
		readonly level?: 'error' | 'warn' | 'info' | 'debug'
		readonly fields?: Readonly<Record<string, unknown>>
		readonly stream?: NodeJS.WritableStream
	} = {}
): Logger {
	const { level = 'info', fields = {}, stream = process.stdout } = options
	const logger = createWinstonLogger({
		level,
		defaultMeta: fields,
		format: format.printf(({ level: lineLevel, message, ...rest }) =>
			formatLogLine(new Date(), lineLevel, String(message), rest)
		),
	})
	// eslint-disable-next-line @typescript-eslint/no-unsafe-class-instance-assignment -- winston declares its transports as instances, not as classes
	return logger.add(new transports.Stream({ stream }))
}
