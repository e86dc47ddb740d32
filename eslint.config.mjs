import { defineConfig } from 'eslint/config';
import tseslint from 'typescript-eslint';

/** Packages in layers; a package imports only from those that it names. */
const allowedImports = {
  base: [],
  protocol: ['base'],
  store: ['base'],
  configuration: ['base', 'store'],
  ownership: ['base', 'store', 'protocol', 'configuration'],
  gateway: ['base', 'protocol', 'configuration', 'ownership', 'connection'],
  daemon: ['base', 'store', 'protocol', 'configuration', 'ownership', 'gateway', 'routing'],
  standIns: [
    'base',
    'store',
    'protocol',
    'configuration',
    'ownership',
    'gateway',
    'daemon',
    'keyownership',
    'dispatch',
  ],
  routing: ['base'],
  connection: ['base'],
  dispatch: ['base', 'routing', 'connection'],
  keyownership: ['base', 'store'],
  entryvm: ['base', 'store', 'routing', 'connection', 'dispatch', 'keyownership'],
  platform: ['base', 'store', 'routing', 'connection', 'dispatch', 'keyownership', 'entryvm', 'daemon'],
  testing: [],
};

/** Folders of workspaces whose package name is not their folder's. */
const folders = { keyownership: 'packages/keyOwnership', entryvm: 'packages/entryVm', platform: 'platform' };

const testOnly = ['testing', 'standIns'];
const socketModules = [
  'node:http',
  'node:net',
  'node:dgram',
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
  const folder = folders[name] ?? `packages/${name}`;
  return [
    {
      files: [`${folder}/src/common/**/*.ts`],
      ignores: ['**/test/**'],
      rules: rule([...forbiddenPackages(name, []), nodeLayer]),
    },
    {
      files: [`${folder}/src/node/**/*.ts`],
      ignores: ['**/test/**'],
      rules: rule(forbiddenPackages(name, [])),
    },
    { files: [`${folder}/src/**/test/**/*.ts`], rules: rule(forbiddenPackages(name, testOnly)) },
  ];
}

export default defineConfig(
  { ignores: ['**/node_modules/**', 'target/**', '**/generated/**', '**/*.mjs'] },
  tseslint.configs.strictTypeChecked,
  tseslint.configs.stylisticTypeChecked,
  {
    languageOptions: { parserOptions: { projectService: true, tsconfigRootDir: import.meta.dirname } },
    linterOptions: { reportUnusedDisableDirectives: 'error' },
  },
  ...Object.keys(allowedImports).flatMap(layerRules),
);
