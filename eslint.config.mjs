import { configs, plugins } from 'eslint-config-airbnb-extended';
import prettier from 'eslint-config-prettier';
import tsdoc from 'eslint-plugin-tsdoc';

export default [
  { ignores: ['dist/**', 'target/**', 'node_modules/**', 'bench/results/**', 'test/fixtures/**'] },
  plugins.stylistic,
  plugins.importX,
  plugins.node,
  ...configs.base.recommended,
  ...configs.node.recommended,
  plugins.typescriptEslint,
  ...configs.base.typescript,
  prettier,
  {
    files: ['**/*.ts'],
    languageOptions: {
      parserOptions: { projectService: true, tsconfigRootDir: process.cwd() },
    },
    plugins: { tsdoc },
    rules: {
      'tsdoc/syntax': 'error',
      '@typescript-eslint/consistent-type-imports': 'error',
      '@typescript-eslint/no-explicit-any': 'error',
      '@typescript-eslint/no-floating-promises': 'error',
      '@typescript-eslint/no-non-null-assertion': 'error',
      '@typescript-eslint/prefer-readonly': 'error',
      '@typescript-eslint/switch-exhaustiveness-check': [
        'error',
        { considerDefaultExhaustiveForUnions: true },
      ],
      'max-lines-per-function': ['error', { max: 70, skipBlankLines: true, skipComments: true }],
      'max-lines': ['error', { max: 350, skipBlankLines: true, skipComments: true }],
    },
  },
  {
    files: ['src/core/**/*.ts'],
    rules: {
      // Decisions are independent of sockets and of the encoding of messages.
      'no-restricted-imports': [
        'error',
        {
          patterns: [
            {
              group: ['**/runtime/**', '**/cli/**'],
              message: 'core must not import runtime or cli',
            },
            {
              group: ['ws', 'undici', 'hono', 'msgpackr', 'node:http', 'node:net'],
              message: 'sockets and codecs belong in src/runtime',
            },
          ],
        },
      ],
    },
  },
  {
    files: ['**/*.ts', '**/*.mjs'],
    rules: {
      // Exhaustive switches replace default branches, and the compiler checks the return paths.
      'consistent-return': 'off',
      'default-case': 'off',
      // Each file covers one concept, which can have several exports.
      'import-x/prefer-default-export': 'off',
      'import-x/extensions': 'off',
      'import-x/no-rename-default': 'off',
      'class-methods-use-this': 'off',
      // Private members use `#name`, and the ES2022 target runs for-of natively.
      'no-restricted-syntax': 'off',
      'no-continue': 'off',
      'no-void': ['error', { allowAsStatement: true }],
      'n/no-process-exit': 'off',
      // hono needs these fetch classes, which Node.js 20 provides but marks as experimental.
      'n/no-unsupported-features/node-builtins': ['error', { ignores: ['Response', 'Headers'] }],
    },
  },
  {
    files: [
      'test/**/*.ts',
      'bench/**/*.ts',
      'soak/**/*.ts',
      'standin/**/*.ts',
      'demo/**/*.ts',
      'scripts/**',
      '*.mjs',
    ],
    rules: {
      'import-x/no-extraneous-dependencies': 'off',
      'max-lines-per-function': 'off',
      'no-console': 'off',
      'no-await-in-loop': 'off',
      // The test runner awaits the promises that node:test functions return.
      '@typescript-eslint/no-floating-promises': 'off',
    },
  },
  {
    // The error registry is a single table longer than the limit.
    files: ['src/core/errors/registry.ts'],
    rules: { 'max-lines': 'off' },
  },
];
