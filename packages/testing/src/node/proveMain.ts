import { spawn } from 'node:child_process';
import {
  cpSync,
  mkdirSync,
  mkdtempSync,
  readdirSync,
  readFileSync,
  rmSync,
  symlinkSync,
  writeFileSync,
} from 'node:fs';
import { tmpdir } from 'node:os';
import { join, resolve } from 'node:path';

/** A change that disables one mechanism, and the test that must fail for it. */
interface Mutation {
  readonly name: string;
  readonly file: string;
  readonly find: string;
  readonly replace: string;
  readonly test: string;
}

const PARALLEL_MUTATIONS = 3;

/** Copies the packages to a scratch directory whose workspace links lead to the copy. */
function copyProject(): string {
  const directory = mkdtempSync(join(tmpdir(), 'hickoryhoist-proof-'));
  cpSync('packages', join(directory, 'packages'), { recursive: true });
  cpSync('package.json', join(directory, 'package.json'));
  cpSync('tsconfig.json', join(directory, 'tsconfig.json'));
  const modules = join(directory, 'node_modules');
  mkdirSync(join(modules, '@hickoryhoist'), { recursive: true });
  for (const entry of readdirSync('node_modules').filter((name) => name !== '@hickoryhoist')) {
    symlinkSync(resolve('node_modules', entry), join(modules, entry));
  }
  for (const name of readdirSync('packages')) {
    symlinkSync(join(directory, 'packages', name), join(modules, '@hickoryhoist', name));
  }
  return directory;
}

function runTest(directory: string, test: string): Promise<boolean> {
  return new Promise((settle) => {
    const script = 'packages/testing/src/node/runTestsMain.ts';
    const child = spawn(process.execPath, ['--import', 'tsx', script, test], {
      cwd: directory,
      stdio: 'ignore',
    });
    child.on('close', (code) => {
      settle(code === 0);
    });
  });
}

async function prove(mutation: Mutation): Promise<boolean> {
  const directory = copyProject();
  try {
    const path = join(directory, mutation.file);
    const source = readFileSync(path, 'utf8');
    if (source.split(mutation.find).length !== 2) {
      process.stdout.write(`STALE   ${mutation.name}: the text to replace does not stand once in the file\n`);
      return false;
    }
    writeFileSync(
      path,
      source.replace(mutation.find, () => mutation.replace),
    );
    const isStillGreen = await runTest(directory, mutation.test);
    process.stdout.write(`${isStillGreen ? 'MISSED ' : 'caught '} ${mutation.name} (${mutation.test})\n`);
    return !isStillGreen;
  } finally {
    rmSync(directory, { recursive: true, force: true });
  }
}

const all = JSON.parse(readFileSync('packages/testing/mutations.json', 'utf8')) as readonly Mutation[];
const pattern = process.argv[2] ?? '';
const waiting = all.filter(({ name, test }) => name.includes(pattern) || test.includes(pattern));
const total = waiting.length;
let caught = 0;
const work = async (): Promise<void> => {
  for (let mutation = waiting.shift(); mutation !== undefined; mutation = waiting.shift()) {
    const isCaught = await prove(mutation);
    caught += isCaught ? 1 : 0;
  }
};
await Promise.all(Array.from({ length: PARALLEL_MUTATIONS }, work));
process.stdout.write(`${caught.toString()} of ${total.toString()} disabled mechanisms were caught\n`);
process.exitCode = caught === total ? 0 : 1;
