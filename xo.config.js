/** Formatter and linter rules: XO's own, with the exceptions that the house style needs. */
const typescriptFiles = ['**/*.ts'];

const config = [
	{ignores: ['**/dist/**', 'docs/**']},
	{
		rules: {
			// One task for each connection is written as a loop that awaits its steps.
			'no-await-in-loop': 'off',
			// Ok and Err are constructors of ts-results that are called without new.
			'new-cap': ['error', {capIsNewExceptions: ['Ok', 'Err']}],
			// Member tables have a method named find that takes an id.
			'unicorn/no-array-callback-reference': 'off',
			// Customary short names of Node.js programs.
			'unicorn/prevent-abbreviations': ['error', {
				allowList: {
					args: true, env: true, i: true, j: true, params: true,
				},
			}],
		},
	},
	{
		files: typescriptFiles,
		rules: {
			// Behaviour that varies is an interface with classes; data is a type.
			'@typescript-eslint/consistent-type-definitions': 'off',
			// XO's convention, and UPPER_CASE for constants with their units.
			'@typescript-eslint/naming-convention': [
				'error',
				{
					selector: ['class', 'interface', 'typeAlias', 'enum', 'typeParameter'],
					format: ['StrictPascalCase'],
				},
				{
					selector: 'variable',
					modifiers: ['const', 'global'],
					format: ['strictCamelCase', 'UPPER_CASE', 'StrictPascalCase'],
				},
				{
					selector: ['variable', 'function', 'parameter', 'classProperty', 'classMethod', 'accessor'],
					format: ['strictCamelCase'],
					leadingUnderscore: 'allow',
				},
			],
		},
	},
	{
		files: ['packages/*/bin/*.js'],
		rules: {
			// A launcher only runs the compiled program.
			'import-x/no-unassigned-import': 'off',
		},
	},
	{
		files: ['**/*.test.ts'],
		rules: {
			// Test tools stand in the root package.
			'import-x/no-extraneous-dependencies': 'off',
			'n/no-extraneous-import': 'off',
		},
	},
];

export default config;
