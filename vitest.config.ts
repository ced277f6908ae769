import { defineConfig } from 'vitest/config'

export default defineConfig({
	// Resolves workspace packages to their TypeScript sources instead of `dist`.
	ssr: { resolve: { conditions: ['source'] } },
	resolve: { conditions: ['source'] },
	test: {
		include: [
			'packages/*/src/**/*.test.ts',
			'platform/src/**/*.test.ts',
			'spec/src/**/*.test.ts',
			'bench/src/**/*.test.ts',
			'tests/**/*.test.ts',
		],
		exclude: ['**/node_modules/**', '**/dist/**', '**/*.failure.test.ts', '**/*.crowd.test.ts'],
		testTimeout: 30_000,
		maxWorkers: 4,
	},
})
