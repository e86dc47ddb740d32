import { suite, type Test } from 'uvu';

type TestBody = () => void | Promise<void>;

let namePath: readonly string[] = [];
let currentSuite: Test | undefined;

/** Defines a group of tests. The names of nested groups are joined with ` > `. */
export function describe(name: string, define: () => void): void {
  const outerNamePath = namePath;
  const isOutermost = currentSuite === undefined;
  namePath = [...namePath, name];
  currentSuite ??= suite(name);
  define();
  namePath = outerNamePath;
  if (isOutermost) {
    currentSuite.run();
    currentSuite = undefined;
  }
}

/** Defines a test; must be called inside `describe`. */
export function it(name: string, body: TestBody): void {
  if (currentSuite === undefined) {
    throw new Error(`the test "${name}" is defined outside of describe`);
  }
  currentSuite([...namePath, name].join(' > '), async () => {
    await body();
  });
}
