/** The platform's words stay in its adapter: no other source or test names its header fields, settings or paths. */
import { readFileSync, readdirSync } from 'node:fs';
import { expect, test } from 'vitest';

const filesIn = (folder: string): string[] =>
  readdirSync(folder, { recursive: true, encoding: 'utf8' })
    .map((name) => `${folder}/${name}`)
    .filter((name) => /\.(ts|js|yaml|json)$/.test(name));

/** Words of the product's own list of engines, which it had before it met the platform. */
const OWN = new Set([
  'weight_generation',
  'prefill_rate',
  'cache_capacity_tokens',
  'cold_ms',
  'non_idempotent',
]);

const adapter = filesIn('platform')
  .map((name) => readFileSync(name, 'utf8'))
  .join('\n');
const fields = [...adapter.matchAll(/\b[a-z]+(?:_[a-z0-9]+)+\b/g)]
  .map(([word]) => word)
  .filter((word) => !OWN.has(word));
const headers = [...adapter.matchAll(/\brudderridge-[a-z-]+/g)].map(([word]) => word);
const words = new Set([
  ...fields,
  ...headers,
  'RUDDERRIDGE_CONFIG',
  '-/configuration',
  '-/ready',
  '/instances',
]);

test('the adapter is small and its words are found', () => {
  for (const word of [
    'node_name',
    'drain_ms',
    'path_prefix',
    'next_page_token',
    'rudderridge-request-id',
    'rudderridge-response-seal',
  ])
    expect(words).toContain(word);
  expect(adapter.split('\n').length).toBeLessThan(600);
});

test('no file outside the adapter and its tests names them', () => {
  const others = ['src', 'bin', 'schema', 'test']
    .flatMap(filesIn)
    .filter((name) => !name.startsWith('test/platform/'));
  expect(others.length).toBeGreaterThan(100);
  const named = others.flatMap((name) => {
    const text = readFileSync(name, 'utf8').toLowerCase();
    return [...words]
      .filter((word) => new RegExp(`(?<![a-z0-9_])${word.toLowerCase()}(?![a-z0-9_])`).test(text))
      .map((word) => `${name}: ${word}`);
  });
  expect(named).toEqual([]);
});
