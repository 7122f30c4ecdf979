/** The loader of the bundle: with compiled code beside it, without, and with code that V8 refuses, the program runs. */
import { execFileSync } from 'node:child_process';
import {
  copyFileSync,
  existsSync,
  mkdtempSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { afterEach, beforeEach, expect, test } from 'vitest';

const LOADER = 'start.cjs';

/** A bundle that tells its text, its role, what it can require and where it lies. */
const program = (text: string): string =>
  `const { basename } = require('node:path');
process.stdout.write(['${text}', process.argv[2], basename(__filename), module.exports === exports].join(' '));`;

let folder = '';
beforeEach(() => {
  folder = mkdtempSync(join(tmpdir(), 'start-'));
  copyFileSync(join('deploy', LOADER), join(folder, LOADER));
  writeFileSync(join(folder, 'main.cjs'), program('first'));
});
afterEach(() => rmSync(folder, { recursive: true }));

const start = (argument: string): string =>
  execFileSync(process.execPath, [join(folder, LOADER), argument], { encoding: 'utf8' });
const code = (): string => join(folder, 'main.cjs.code');

test('without compiled code the program runs, and leaves none', () => {
  expect(start('router')).toBe('first router main.cjs true');
  expect(existsSync(code())).toBe(false);
});

test('--keep leaves the compiled code, and the program runs with it', () => {
  start('--keep');
  const kept = readFileSync(code());
  expect(kept.length).toBeGreaterThan(0);
  expect(start('router')).toBe('first router main.cjs true');
  expect(readFileSync(code())).toEqual(kept);
});

test('code of another build is refused and the program compiled', () => {
  start('--keep');
  writeFileSync(join(folder, 'main.cjs'), program('a second and longer text'));
  expect(start('core')).toBe('a second and longer text core main.cjs true');
});

test('what is no compiled code is refused and the program compiled', () => {
  for (const bytes of [Buffer.alloc(0), Buffer.alloc(4096, 7)]) {
    writeFileSync(code(), bytes);
    expect(start('core')).toBe('first core main.cjs true');
  }
});
