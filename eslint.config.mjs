import { configs, plugins } from 'eslint-config-airbnb-extended';
import prettier from 'eslint-config-prettier';

export default [
  {
    ignores: [
      '**/dist/**',
      '**/node_modules/**',
      'target/**',
      'journal/**',
      'packages/protocol/src/generated/**',
      '.tap/**',
    ],
  },
  plugins.stylistic,
  plugins.importX,
  ...configs.base.recommended,
  plugins.typescriptEslint,
  ...configs.base.typescript,
  prettier,
  {
    rules: {
      // One task per connection or peer is written straight down, with awaits in loops.
      'no-await-in-loop': 'off',
      'no-constant-condition': ['error', { checkLoops: false }],
      'no-restricted-syntax': ['error', 'ForInStatement', 'LabeledStatement', 'WithStatement'],
      'no-continue': 'off',
      // Tasks keep the position of their stream in an object that their helpers advance.
      'no-param-reassign': ['error', { props: false }],
      // Hashing needs bit operations.
      'no-bitwise': 'off',
      // Public items come first in a module, the functions that they use below.
      '@typescript-eslint/no-use-before-define': [
        'error',
        { functions: false, classes: true, variables: true },
      ],
      'no-plusplus': ['error', { allowForLoopAfterthoughts: true }],
      // Namespace imports are the house style, so modules export by name.
      'import-x/prefer-default-export': 'off',
      'import-x/no-namespace': 'off',
      // TypeScript resolves modules; NodeNext needs the .js extension.
      'import-x/extensions': 'off',
      'import-x/no-unresolved': 'off',
      'import-x/no-cycle': 'off',
      'import-x/no-extraneous-dependencies': 'off',
      'import-x/no-rename-default': 'off',
      // Abstract classes carry behaviour that varies; several may share a module.
      'max-classes-per-file': 'off',
      'class-methods-use-this': 'off',
      '@typescript-eslint/class-methods-use-this': 'off',
      'no-void': ['error', { allowAsStatement: true }],
    },
  },
];
