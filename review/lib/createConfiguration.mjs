/**
 * Creates the operator's configuration: two queues, whose tasks run on the service `desk`.
 *
 * @param options.version - version of the configuration
 * @param options.quotes - name of the route for the path `/quotes/`
 */
export function createConfiguration({ version = 3, quotes = 'quotes' } = {}) {
	return {
		version,
		routes: [createRoute(quotes, '/quotes/'), createRoute('files', '/files/')],
		services: [{ name: 'desk', preconditions: true, spare: false }],
		limits: { max_body_bytes: 262_144, idle_timeout_ms: 15_000 },
		tenants: [
			{ name: 'installers', api_keys: ['key-1'], weight: 1, cap: { cpu: 0, mem_mb: 0, gpu: 0 } },
		],
	}
}

function createRoute(name, pathPrefix) {
	return {
		name,
		host: 'desk.example',
		path_prefix: pathPrefix,
		kind: 'non_idempotent',
		timeout_ms: 3_000,
		target_latency_ms: 600,
		priority: 0,
		service: 'desk',
		max_attempts: 3,
		stretch: 1.6,
		public: false,
	}
}
