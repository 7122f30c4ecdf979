/** The list of tests that are known to fail: what its lines say, which runs pass with it, and that CI goes by it. */
import { execFile } from 'node:child_process';
import { cp, mkdir, mkdtemp, rm, symlink, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join, resolve } from 'node:path';
import { expect, test } from 'vitest';

interface Entry {
  file: string;
  name: string;
  cause: string;
  issue: string;
}
interface Ran {
  file: string;
  name: string;
  state: string;
}
interface Judging {
  parseList(text: string): { entries: Entry[]; complaints: string[] };
  judge(entries: readonly Entry[], tests: readonly Ran[], outside: readonly string[]): string[];
}

const { parseList, judge } = (await import(resolve('.ci/known-red.mjs'))) as Judging;

const line = 'test/a.test.ts | group > red | spring is late | issue 12';
const entries = parseList(line).entries;
const red: Ran = { file: 'test/a.test.ts', name: 'group > red', state: 'failed' };
const green: Ran = { file: 'test/a.test.ts', name: 'green', state: 'passed' };

test('a line names file, test, cause and issue; others are complained of', () => {
  expect(parseList(`# comment\n\n${line}\n`)).toEqual({
    entries: [
      { file: 'test/a.test.ts', name: 'group > red', cause: 'spring is late', issue: 'issue 12' },
    ],
    complaints: [],
  });
  expect(parseList('test/a.test.ts | red | no issue').complaints).toHaveLength(1);
  expect(parseList('test/a.test.ts | red |  | issue 12').complaints).toHaveLength(1);
  expect(parseList(`${line}\n${line}`).complaints).toHaveLength(1);
});

test('a run passes when just the listed tests failed', () => {
  expect(judge(entries, [red, green], [])).toEqual([]);
  expect(judge([], [green], [])).toEqual([]);
});

test('a run does not pass when another failed, or a listed one passed, was skipped or is not found, or something failed outside of a test', () => {
  expect(judge(entries, [red, { ...green, state: 'failed' }], [])).toEqual([
    'failed, and is not listed: test/a.test.ts > green',
  ]);
  expect(judge(entries, [red, { ...red, file: 'test/b.test.ts' }], [])).toEqual([
    'failed, and is not listed: test/b.test.ts > group > red',
  ]);
  expect(judge(entries, [{ ...red, state: 'passed' }], [])).toEqual([
    'listed, and passed: test/a.test.ts > group > red',
  ]);
  expect(judge(entries, [{ ...red, state: 'skipped' }], [])).toEqual([
    'listed, and skipped: test/a.test.ts > group > red',
  ]);
  expect(judge(entries, [green], [])).toEqual([
    'listed, and not found: test/a.test.ts > group > red',
  ]);
  expect(judge(entries, [red], ['an unhandled rejection'])).toEqual([
    'failed outside of a test: an unhandled rejection',
  ]);
});

const RED = "describe('group', () => { test('red', () => { throw new Error('as known'); }); });";
const GREEN = "test('green', () => undefined);";

/** Runs CI's tests in a folder of its own that holds one test file, and maybe a list. */
const runTests = async (
  source: string,
  list?: string,
): Promise<{ passed: boolean; told: string }> => {
  const folder = await mkdtemp(join(tmpdir(), 'known-red-'));
  try {
    await cp('.ci', join(folder, '.ci'), { recursive: true });
    await symlink(resolve('node_modules'), join(folder, 'node_modules'));
    await writeFile(
      join(folder, 'package.json'),
      JSON.stringify({ type: 'module', scripts: { test: 'vitest run --globals' } }),
    );
    await mkdir(join(folder, 'test'));
    await writeFile(join(folder, 'test/a.test.ts'), source);
    if (list !== undefined) await writeFile(join(folder, 'KNOWN-RED.txt'), list);
    const env = Object.fromEntries(
      Object.entries(process.env).filter(([name]) => !/^(VITEST|NODE_ENV|TEST$)/.test(name)),
    );
    return await new Promise((done) =>
      execFile(join(folder, '.ci/tests'), { env }, (failure, told) =>
        done({ passed: !failure, told }),
      ),
    );
  } finally {
    await rm(folder, { recursive: true, force: true });
  }
};

test('CI passes over a listed test and prints it', async () => {
  const { passed, told } = await runTests(`${RED} ${GREEN}`, line);
  expect(told).toContain('known red: test/a.test.ts > group > red (spring is late; issue 12)');
  expect(told).not.toContain('complaint');
  expect(passed).toBe(true);
});

test('CI does not pass over any test where none is listed', async () => {
  expect((await runTests(`${RED} ${GREEN}`)).passed).toBe(false);
});

test('CI does not pass when a listed test passes or is not found, another fails, or anything fails outside of a test', async () => {
  const loose = "test('loose', () => { void Promise.reject(new Error('nobody waits')); });";
  const { passed, told } = await runTests(
    `${RED} ${GREEN} ${loose} afterAll(() => { throw new Error('hook'); });`,
    'test/a.test.ts | green | mended | issue 12\ntest/a.test.ts | gone | mended | issue 12',
  );
  for (const complaint of [
    'listed, and passed: test/a.test.ts > green',
    'listed, and not found: test/a.test.ts > gone',
    'failed, and is not listed: test/a.test.ts > group > red',
    'failed outside of a test: nobody waits',
    'failed outside of a test: test/a.test.ts: hook',
  ])
    expect(told).toContain(complaint);
  expect(passed).toBe(false);
});
