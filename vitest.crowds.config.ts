import { defineConfig } from 'vitest/config'

/** Tests in which a crowd of clients presses one process. They run one at a time. */
export default defineConfig({
	// Resolves workspace packages to their TypeScript sources instead of `dist`.
	ssr: { resolve: { conditions: ['source'] } },
	resolve: { conditions: ['source'] },
	test: {
		include: ['packages/*/src/**/*.crowd.test.ts', 'platform/src/**/*.crowd.test.ts'],
		testTimeout: 240_000,
		hookTimeout: 60_000,
		maxWorkers: 1,
		fileParallelism: false,
	},
})
