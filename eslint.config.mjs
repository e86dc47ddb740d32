import { defineConfig } from 'eslint/config';
import tseslint from 'typescript-eslint';

/** Packages in layers; a package imports only from those that it names. */
const allowedImports = {
  base: [],
  protocol: ['base'],
  platform: ['base'],
  configuration: ['base', 'platform'],
  ownership: ['base', 'platform', 'protocol', 'configuration'],
  gateway: ['base', 'protocol', 'configuration', 'ownership'],
  daemon: ['base', 'platform', 'protocol', 'configuration', 'ownership', 'gateway'],
  standIns: ['base', 'platform', 'protocol', 'configuration', 'ownership', 'gateway', 'daemon'],
  testing: [],
};

const testOnly = ['testing', 'standIns'];
const socketModules = [
  'node:http',
  'node:net',
  'node:fs',
  'node:fs/promises',
  'node:child_process',
  'undici',
  '@grpc/grpc-js',
];

function forbiddenPackages(name, extra) {
  const allowed = [...allowedImports[name], name, ...extra];
  const others = Object.keys(allowedImports).filter((other) => !allowed.includes(other));
  return others.map((other) => ({
    group: [`@hickoryhoist/${other}/*`, `@hickoryhoist/${other}/**`],
    message: `${name} must not import from ${other}`,
  }));
}

function layerRules(name) {
  const nodeLayer = {
    group: ['**/node/**', '../node/*', ...socketModules],
    message: 'common holds logic free of sockets and processes; it must not import from node',
  };
  const rule = (patterns) => ({ 'no-restricted-imports': ['error', { patterns }] });
  return [
    {
      files: [`packages/${name}/src/common/**/*.ts`],
      ignores: ['**/test/**'],
      rules: rule([...forbiddenPackages(name, []), nodeLayer]),
    },
    {
      files: [`packages/${name}/src/node/**/*.ts`],
      ignores: ['**/test/**'],
      rules: rule(forbiddenPackages(name, [])),
    },
    { files: [`packages/${name}/src/**/test/**/*.ts`], rules: rule(forbiddenPackages(name, testOnly)) },
  ];
}

export default defineConfig(
  { ignores: ['**/node_modules/**', '**/generated/**', '**/*.mjs'] },
  tseslint.configs.strictTypeChecked,
  tseslint.configs.stylisticTypeChecked,
  {
    languageOptions: { parserOptions: { projectService: true, tsconfigRootDir: import.meta.dirname } },
    linterOptions: { reportUnusedDisableDirectives: 'error' },
  },
  ...Object.keys(allowedImports).flatMap(layerRules),
);
