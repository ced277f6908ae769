import jsdoc from 'eslint-plugin-jsdoc'
import { defineConfig } from 'eslint/config'
import tseslint from 'typescript-eslint'
import { oneExport } from './eslint-rules/oneExport.js'

const sources = [
	'packages/*/src/**/*.ts',
	'platform/src/**/*.ts',
	'bench/src/**/*.ts',
	'spec/src/**/*.ts',
	'tests/**/*.ts',
]

export default defineConfig(
	{ ignores: ['**/dist/**', '**/node_modules/**', '**/generated/**'] },
	{
		files: sources,
		extends: [tseslint.configs.strictTypeChecked, tseslint.configs.stylisticTypeChecked],
		languageOptions: { parserOptions: { projectService: true } },
		plugins: { jsdoc, local: { rules: { 'one-export': oneExport } } },
		rules: {
			'@typescript-eslint/restrict-template-expressions': [
				'error',
				{ allowNumber: true, allowBoolean: true },
			],
			'@typescript-eslint/switch-exhaustiveness-check': 'error',
			'@typescript-eslint/consistent-type-definitions': 'off',
			'@typescript-eslint/consistent-type-imports': 'error',
			'local/one-export': 'error',
			'jsdoc/require-jsdoc': [
				'error',
				{
					publicOnly: true,
					require: { ClassDeclaration: true, FunctionDeclaration: true, MethodDefinition: false },
					contexts: [
						'TSTypeAliasDeclaration',
						'TSInterfaceDeclaration',
						'ExportNamedDeclaration > VariableDeclaration',
					],
				},
			],
		},
	},
	{
		files: ['**/*.test.ts', '**/src/index.ts', '**/src/main.ts'],
		rules: { 'local/one-export': 'off', 'jsdoc/require-jsdoc': 'off' },
	}
)
