/** Lint rules: the recommended set of the TypeScript plugin, with the house's own exceptions. */
import tseslint from 'typescript-eslint';

export default tseslint.config(
  { ignores: ['dist/', 'target/', 'node_modules/', 'src/api/generated.ts'] },
  ...tseslint.configs.recommended,
  {
    files: ['src/**/*.ts', 'platform/**/*.ts', 'test/**/*.ts'],
    languageOptions: { parserOptions: { projectService: true } },
    rules: {
      '@typescript-eslint/no-floating-promises': 'error',
      '@typescript-eslint/switch-exhaustiveness-check': 'error',
      '@typescript-eslint/no-extraneous-class': 'off',
    },
  },
);
