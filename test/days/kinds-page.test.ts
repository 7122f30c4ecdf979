/** The page on kinds of trouble is true to the tree: it names each simulated fault and each own day, and no file that isn't there. */
import { existsSync, readdirSync, readFileSync } from 'node:fs';
import { parse } from 'smol-toml';
import { expect, test } from 'vitest';
import { faultNames } from '../../src/sim/day/plan.js';

interface Trouble {
  readonly kind: string;
  readonly at: number;
}

interface OwnDay {
  readonly name: string;
  readonly plan?: readonly Trouble[];
  readonly faults?: readonly Trouble[];
}

const FOLDER = 'test/days-bench';
const page = readFileSync('docs/kinds.md', 'utf8');
const list = readFileSync(`${FOLDER}/README.md`, 'utf8');
const files = readdirSync(FOLDER).filter((file) => file.endsWith('.toml'));
const textOf = (file: string): string => readFileSync(`${FOLDER}/${file}`, 'utf8');

const names = (text: string, word: string): boolean =>
  new RegExp(`(?<![\\w-])${word}(?![\\w-])`).test(text);

test('each simulated fault is on the page', () => {
  expect(faultNames.filter((fault) => !names(page, fault))).toEqual([]);
});

test('each own day says why, is read under its name, and is on the page and in its list', () => {
  expect(files.length).toBeGreaterThan(25);
  for (const file of files) {
    const text = textOf(file);
    const day = file.replace('.toml', '');
    expect(text, file).toMatch(/^# \S.{20,}/);
    expect((parse(text) as unknown as OwnDay).name).toBe(day);
    expect(names(page, day), `${file} on the page`).toBe(true);
    expect(list, `${file} in the list`).toContain(`\`${file}\``);
  }
});

test('each kind that an own day brings about is on the page', () => {
  for (const file of files) {
    const { plan = [], faults = [] } = parse(textOf(file)) as unknown as OwnDay;
    const missing = [...plan, ...faults].filter(({ kind }) => !page.includes(`\`${kind}\``));
    expect(missing, file).toEqual([]);
  }
});

test('each file that the page names is there', () => {
  const paths = [...page.matchAll(/`((?:src|test)\/[\w./-]+)`/g)].map(([, path]) => path!);
  expect(paths.length).toBeGreaterThan(20);
  expect(paths.filter((path) => !path.includes('X') && !existsSync(path))).toEqual([]);
});
