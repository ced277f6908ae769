/**
 * Creates a configuration in the operator's format, with the queue `quotes`, its service `desk` and
 * the spare service `shelf`.
 *
 * @public
 *
 * @param options.keys - keys of the first team
 * @param options.otherKeys - keys of a second team; without any there is none
 * @param options.cpu - limit of the team, in thousandths of a core; 0 for none
 */
export function createOperatorConfiguration({
	version = 3,
	keys = ['key-1'],
	otherKeys = [],
	cpu = 0,
}: {
	version?: number
	keys?: readonly string[]
	otherKeys?: readonly string[]
	cpu?: number
} = {}): object {
	const cap = { cpu }
	const tenants = [{ name: 'installers', api_keys: keys, weight: 1, cap }]
	if (otherKeys.length > 0) tenants.push({ name: 'strangers', api_keys: otherKeys, weight: 1, cap })
	return {
		version,
		routes: [
			{
				name: 'quotes',
				host: 'desk.example',
				path_prefix: '/quotes/',
				kind: 'non_idempotent',
				timeout_ms: 3_000,
				target_latency_ms: 600,
				priority: 0,
				service: 'desk',
				max_attempts: 2,
				stretch: 1.6,
				public: false,
			},
		],
		services: [
			{ name: 'desk', preconditions: true, spare: false },
			{ name: 'shelf', preconditions: true, spare: true },
		],
		limits: { max_body_bytes: 262_144, idle_timeout_ms: 15_000 },
		tenants,
	}
}
