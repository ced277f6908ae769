import { defineConfig } from 'vitest/config'

export default defineConfig({
	// Resolves workspace packages to their TypeScript sources instead of `dist`.
	ssr: { resolve: { conditions: ['source'] } },
	resolve: { conditions: ['source'] },
	test: {
		include: [
			'packages/*/src/**/*.failure.test.ts',
			'platform/src/**/*.failure.test.ts',
			'tests/**/*.failure.test.ts',
			'spec/src/**/*.test.ts',
		],
		passWithNoTests: true,
		testTimeout: 120_000,
		maxWorkers: 4,
	},
})
