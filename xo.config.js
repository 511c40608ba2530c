/** @type {import('xo').FlatXoConfig} */
const config = [
	{
		ignores: ['dist/**', 'target/**', 'journal/**', 'docs/**', 'reports/**'],
	},
	{
		rules: {
			// A task per connection awaits its steps one after the other.
			'no-await-in-loop': 'off',
			// Class hierarchies of clients and fakes need empty hooks and members without `this`.
			'class-methods-use-this': 'off',
			// Result codes, wire fields and header names keep the case of the published protocols.
			'@typescript-eslint/naming-convention': 'off',
			camelcase: 'off',
			'n/prefer-global/process': 'off',
			'n/prefer-global/buffer': 'off',
			'capitalized-comments': 'off',
			'import-x/extensions': 'off',
			'import-x/no-extraneous-dependencies': 'off',
			'unicorn/prevent-abbreviations': 'off',
			'unicorn/no-null': 'off',
			// Brands and wire formats enter by `as`; schemas check what comes from outside.
			'@typescript-eslint/no-unsafe-type-assertion': 'off',
			// Contradicts `unicorn/empty-brace-spaces` on constructors that only declare properties.
			'@stylistic/curly-newline': 'off',
			'require-unicode-regexp': 'off',
			// Node's streams deliver `Buffer`.
			'@typescript-eslint/no-restricted-types': 'off',
			// Takes every method named `find` for one of arrays.
			'unicorn/no-array-method-this-argument': 'off',
			'unicorn/no-array-callback-reference': 'off',
			'@stylistic/max-len': ['error', {
				code: 160, ignoreUrls: true, ignoreStrings: true, ignoreTemplateLiterals: true,
			}],
			'max-lines': ['error', {max: 300, skipBlankLines: true, skipComments: true}],
			'max-params': ['error', {max: 5}],
			'@typescript-eslint/max-params': 'off',
		},
	},
	{
		files: ['platform/main/index.ts'],
		rules: {
			// The entry point of a process may end it.
			'unicorn/no-process-exit': 'off',
			// The bundle is a CommonJS module, which has no top-level await.
			'unicorn/prefer-top-level-await': 'off',
		},
	},
	{
		files: ['src/**/test.ts', 'platform/**/test.ts'],
		rules: {
			// The runner awaits the promises of `test` and `describe` itself.
			'@typescript-eslint/no-floating-promises': 'off',
			'max-nested-callbacks': 'off',
		},
	},
];

export default config;
