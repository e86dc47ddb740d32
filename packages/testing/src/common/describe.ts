import { suite, type Test } from 'uvu';

type Body = () => void | Promise<void>;

let path: readonly string[] = [];
let current: Test | undefined;

/** Groups tests under a name. Nested groups join their names. */
export function describe(name: string, define: () => void): void {
  const outerPath = path;
  const isOutermost = current === undefined;
  path = [...path, name];
  current ??= suite(name);
  define();
  path = outerPath;
  if (isOutermost) {
    current.run();
    current = undefined;
  }
}

/** Defines one test inside of `describe`. */
export function it(name: string, body: Body): void {
  if (current === undefined) {
    throw new Error(`the test "${name}" stands outside of describe`);
  }
  current([...path, name].join(' > '), async () => {
    await body();
  });
}
