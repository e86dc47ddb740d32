import { spawn } from 'node:child_process';
import {
  cpSync,
  mkdirSync,
  mkdtempSync,
  readdirSync,
  readFileSync,
  realpathSync,
  rmSync,
  symlinkSync,
  writeFileSync,
} from 'node:fs';
import { tmpdir } from 'node:os';
import { join, relative, resolve } from 'node:path';
import { judgeMutation, type MutationResult } from '../common/testReport.js';

/** A source change that disables one mechanism, and the test that must fail because of it. */
interface Mutation {
  readonly name: string;
  readonly file: string;
  /** Text that occurs exactly once in the file. */
  readonly find: string;
  readonly replace: string;
  /** Part of the path of the test files to run. */
  readonly test: string;
}

const PARALLEL_MUTATIONS = 3;

/** Copies the packages to a temporary directory whose workspace links point to the copies. */
function copyProject(): string {
  const directory = mkdtempSync(join(tmpdir(), 'hickoryhoist-proof-'));
  cpSync('packages', join(directory, 'packages'), { recursive: true });
  cpSync('platform', join(directory, 'platform'), { recursive: true });
  cpSync('package.json', join(directory, 'package.json'));
  cpSync('tsconfig.json', join(directory, 'tsconfig.json'));
  const nodeModules = join(directory, 'node_modules');
  mkdirSync(join(nodeModules, '@hickoryhoist'), { recursive: true });
  for (const entry of readdirSync('node_modules').filter((name) => name !== '@hickoryhoist')) {
    symlinkSync(resolve('node_modules', entry), join(nodeModules, entry));
  }
  // Names of packages differ from those of their folders, so the links of the package manager are followed.
  for (const name of readdirSync('node_modules/@hickoryhoist')) {
    const folder = relative('.', realpathSync(join('node_modules/@hickoryhoist', name)));
    symlinkSync(join(directory, folder), join(nodeModules, '@hickoryhoist', name));
  }
  return directory;
}

function runTests(directory: string, pathPattern: string): Promise<MutationResult> {
  return new Promise((resolveResult) => {
    const script = 'packages/testing/src/node/runTestsMain.ts';
    const child = spawn(process.execPath, ['--import', 'tsx', script, pathPattern], {
      cwd: directory,
      stdio: ['ignore', 'pipe', 'ignore'],
    });
    const chunks: Buffer[] = [];
    child.stdout.on('data', (chunk: Buffer) => chunks.push(chunk));
    child.on('close', () => {
      resolveResult(judgeMutation(Buffer.concat(chunks).toString('utf8')));
    });
  });
}

async function catchesMutation(mutation: Mutation): Promise<boolean> {
  const directory = copyProject();
  try {
    const path = join(directory, mutation.file);
    const source = readFileSync(path, 'utf8');
    if (source.split(mutation.find).length !== 2) {
      process.stdout.write(
        `STALE   ${mutation.name}: the text to replace does not occur exactly once in the file\n`,
      );
      return false;
    }
    writeFileSync(
      path,
      source.replace(mutation.find, () => mutation.replace),
    );
    const result = await runTests(directory, mutation.test);
    process.stdout.write(`${result} ${mutation.name} (${mutation.test})\n`);
    return result === 'caught';
  } finally {
    rmSync(directory, { recursive: true, force: true });
  }
}

const allMutations = JSON.parse(
  readFileSync('packages/testing/mutations.json', 'utf8'),
) as readonly Mutation[];
const pattern = process.argv[2] ?? '';
const pending = allMutations.filter(({ name, test }) => name.includes(pattern) || test.includes(pattern));
const total = pending.length;
let caught = 0;
const runPending = async (): Promise<void> => {
  for (let mutation = pending.shift(); mutation !== undefined; mutation = pending.shift()) {
    const isCaught = await catchesMutation(mutation);
    caught += isCaught ? 1 : 0;
  }
};
await Promise.all(Array.from({ length: PARALLEL_MUTATIONS }, runPending));
process.stdout.write(`${caught.toString()} of ${total.toString()} disabled mechanisms were caught\n`);
process.exitCode = caught === total ? 0 : 1;
