import { z } from 'zod'

const MAXIMUM_PORT = 65_535
const MEBIBYTE = 1_048_576
const SECOND_MILLISECONDS = 1_000
const MINUTE_MILLISECONDS = 60 * SECOND_MILLISECONDS

const name = z
	.string()
	.regex(/^[a-z0-9][a-z0-9.-]*$/, 'must be lower-case letters, digits, . and -')
const port = z.int().min(1).max(MAXIMUM_PORT)
const milliseconds = z.int().min(0)
const count = z.int().min(1)
const address = z.string().regex(/^[^\s:/]+:\d{1,5}$/, 'must be host:port')

const tls = z.strictObject({
	certificateFile: z.string().min(1),
	keyFile: z.string().min(1),
	clientCertificateAuthorityFile: z.string().min(1).optional(),
})

const listener = z.strictObject({
	host: z.string().min(1).default('127.0.0.1'),
	port,
	tls: tls.optional(),
})

/** Peers authenticate each other by certificate, so TLS requires their authority. */
const peersListener = listener.extend({
	advertisedHost: z.string().min(1).optional(),
	tls: tls.extend({ clientCertificateAuthorityFile: z.string().min(1) }).optional(),
})

const operator = z.strictObject({
	name,
	tokenHash: z.string().regex(/^[0-9a-f]{64}$/, 'must be a SHA-256 in 64 hex digits'),
})

const weight = z.number().positive()

const moves = z.strictObject({
	policy: z.enum(['fixed', 'greedy', 'forecast']).default('forecast'),
	weights: z
		.strictObject({
			shares: weight.default(1),
			moves: weight.default(1),
			buffer: weight.default(1),
		})
		.prefault({}),
	perHour: z.number().min(0).optional(),
})

const limits = z.strictObject({
	headerBytes: count.default(16_384),
	bodyBytes: count.default(64 * MEBIBYTE),
	operatorBodyBytes: count.default(16 * MEBIBYTE),
	headersTimeoutMilliseconds: count.default(10 * SECOND_MILLISECONDS),
	requestTimeoutMilliseconds: count.default(5 * MINUTE_MILLISECONDS),
	idleTimeoutMilliseconds: count.default(MINUTE_MILLISECONDS),
	connectionsPerCaller: count.default(512),
	connections: count.default(8_192),
	requests: count.optional(),
	requestsPerConnection: count.default(32),
	bufferedBodyBytes: count.optional(),
	unparsedBytes: count.optional(),
})

/**
 * Schema of the settings file, with defaults. Rejects unknown settings.
 *
 * @internal
 */
export const settingsSchema = z.strictObject({
	instance: name,
	availabilityZone: name,
	listeners: z.strictObject({
		callers: listener,
		operators: listener,
		peers: peersListener,
	}),
	platform: z.strictObject({
		urls: z.array(z.url({ protocol: /^https?$/ })).min(1),
		timeoutMilliseconds: count.default(5 * SECOND_MILLISECONDS),
		snapshotMilliseconds: count.default(15 * MINUTE_MILLISECONDS),
	}),
	seeds: z.array(address).default([]),
	operators: z
		.array(operator)
		.min(1)
		.refine((entries) => new Set(entries.map((entry) => entry.name)).size === entries.length, {
			error: 'names must be unique',
		}),
	limits: limits.prefault({}),
	maintenance: z
		.strictObject({
			healthPath: z.string().startsWith('/').default('/healthz'),
			healthTimeoutMilliseconds: count.default(2 * SECOND_MILLISECONDS),
			timeoutMilliseconds: count.default(60 * MINUTE_MILLISECONDS),
		})
		.prefault({}),
	moves: moves.prefault({}),
	shutdown: z
		.strictObject({ graceMilliseconds: milliseconds.default(30 * SECOND_MILLISECONDS) })
		.prefault({}),
	keys: z
		.strictObject({ isolatedServeMilliseconds: milliseconds.default(15 * MINUTE_MILLISECONDS) })
		.prefault({}),
	log: z
		.strictObject({ level: z.enum(['error', 'warn', 'info', 'debug']).default('info') })
		.prefault({}),
})
