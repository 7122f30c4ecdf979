/**
 * The tree under the checker: every interleaving of two or three writers and a reader at the places where they yield,
 * against a plain set of what each engine may hold. A read may undercount and never overreach; once all is quiet, a
 * read finds exactly what is held, so no valid path was lost to a split.
 */
import { expect, test } from 'vitest';
import { blocksOf, type Block } from '../../src/index/hash.js';
import { finish, Tree, type Steps } from '../../src/index/tree.js';
import { SeededRandom } from '../../src/kernel/random/random.js';

const run = (text: string, after = ''): Block[] => {
  const all = blocksOf(Buffer.from(after + text), 1, 'root');
  return all.slice(after.length);
};

type Op =
  | { readonly kind: 'store'; readonly after: string; readonly text: string }
  | { readonly kind: 'remove'; readonly path: string };

const store = (after: string, text: string): Op => ({ kind: 'store', after, text });
const remove = (path: string): Op => ({ kind: 'remove', path });

/** What each engine may hold: paths as text, added when a store begins and taken out when a remove has ended. */
class Model {
  readonly may = new Set<string>();
  readonly watchers = new Set<Set<string>>();

  add(engine: string, path: string): void {
    this.may.add(`${engine}:${path}`);
    for (const seen of this.watchers) seen.add(`${engine}:${path}`);
  }

  drop(engine: string, path: string): void {
    for (const held of [...this.may])
      if (held.startsWith(`${engine}:${path}`)) this.may.delete(held);
  }

  held(engine: string, text: string): number {
    let count = 0;
    while (count < text.length && this.may.has(`${engine}:${text.slice(0, count + 1)}`)) count += 1;
    return count;
  }
}

function* writer(tree: Tree, model: Model, engine: string, ops: readonly Op[]): Steps<void> {
  for (const op of ops) {
    if (op.kind === 'store') {
      for (let end = 1; end <= op.text.length; end++)
        model.add(engine, op.after + op.text.slice(0, end));
      const parent = op.after ? run(op.after).at(-1)!.external : undefined;
      if ((yield* tree.store(engine, parent, run(op.text, op.after))) !== 'stored')
        throw new Error(`${engine} could not store ${op.text} after ${op.after}`);
    } else {
      yield* tree.remove(engine, run(op.path).at(-1)!.external);
      model.drop(engine, op.path);
    }
  }
}

function* reader(tree: Tree, model: Model, texts: readonly string[]): Steps<void> {
  for (const text of texts) {
    const seen = new Set(model.may);
    model.watchers.add(seen);
    const found = yield* tree.find(run(text));
    model.watchers.delete(seen);
    for (const [engine, count] of found)
      for (let end = 1; end <= count; end++)
        if (!seen.has(`${engine}:${text.slice(0, end)}`))
          throw new Error(`${engine} claims ${count} of ${text}`);
  }
}

interface Scenario {
  readonly before: ReadonlyArray<readonly [string, readonly Op[]]>;
  readonly writers: ReadonlyArray<readonly [string, readonly Op[]]>;
  readonly reads: readonly string[];
}

const begin = (scenario: Scenario): { tree: Tree; model: Model; threads: Array<Steps<void>> } => {
  const tree = new Tree();
  const model = new Model();
  for (const [engine, ops] of scenario.before) finish(writer(tree, model, engine, ops));
  const threads = scenario.writers.map(([engine, ops]) => writer(tree, model, engine, ops));
  if (scenario.reads.length) threads.push(reader(tree, model, scenario.reads));
  return { tree, model, threads };
};

const quiet = (scenario: Scenario, tree: Tree, model: Model): void => {
  const texts = new Set(scenario.reads);
  for (const [, ops] of [...scenario.before, ...scenario.writers])
    for (const op of ops) if (op.kind === 'store') texts.add(op.after + op.text);
  const engines = new Set([...scenario.before, ...scenario.writers].map(([engine]) => engine));
  for (const text of texts) {
    const found = finish(tree.find(run(text)));
    for (const engine of engines)
      if ((found.get(engine) ?? 0) !== model.held(engine, text))
        throw new Error(
          `${engine} holds ${model.held(engine, text)} of ${text}, found ${found.get(engine)}`,
        );
  }
};

/** Every interleaving, by replaying from the start with each next choice; returns how many there were. */
const interleave = (scenario: Scenario): number => {
  let count = 0;
  const script: number[] = [];
  for (;;) {
    const { tree, model, threads } = begin(scenario);
    const open = threads.map((thread, at) => ({ thread, at }));
    const widths: number[] = [];
    for (let step = 0; open.length > 0; step++) {
      if (step === script.length) script.push(0);
      widths.push(open.length);
      if (step > 200 || count > 300_000)
        throw new Error(
          step > 200
            ? 'a thread does not end'
            : 'too many interleavings; make the scenario smaller',
        );
      const choice = script[step]!;
      if (open[choice]!.thread.next().done) open.splice(choice, 1);
    }
    script.length = widths.length;
    quiet(scenario, tree, model);
    count += 1;
    let last = script.length - 1;
    while (last >= 0 && script[last]! + 1 >= widths[last]!) last -= 1;
    if (last < 0) return count;
    script[last]! += 1;
    script.length = last + 1;
  }
};

const scenarios = new Map<string, Scenario>([
  [
    'prefill fanout under one prefix',
    {
      before: [],
      writers: [
        ['a', [store('', 'xyz1')]],
        ['b', [store('', 'xyz2')]],
        ['c', [store('', 'xy')]],
      ],
      reads: ['xyz1'],
    },
  ],
  [
    'decode extension against a split',
    {
      before: [
        ['a', [store('', 'abcd')]],
        ['b', [store('', 'abcd')]],
      ],
      writers: [
        ['a', [store('abcd', 'ef')]],
        ['b', [store('ab', 'Z')]],
      ],
      reads: ['abcdef', 'abZ'],
    },
  ],
  [
    'two extensions of one tail',
    {
      before: [
        ['a', [store('', 'ab')]],
        ['b', [store('', 'ab')]],
      ],
      writers: [
        ['a', [store('ab', 'cd')]],
        ['b', [store('ab', 'ce')]],
      ],
      reads: ['abcd', 'abce'],
    },
  ],
  [
    'suffix reuse and descent',
    {
      before: [['a', [store('', 'abcdef')]]],
      writers: [
        ['b', [store('', 'abc'), store('abc', 'de')]],
        ['c', [store('', 'abX')]],
      ],
      reads: ['abcdef'],
    },
  ],
  [
    'removes against a split',
    {
      before: [
        ['a', [store('', 'abcdef')]],
        ['b', [store('', 'abcdef')]],
      ],
      writers: [
        ['a', [remove('abcdef'), remove('abcd')]],
        ['c', [store('', 'abcQ')]],
      ],
      reads: ['abcdef'],
    },
  ],
  [
    'a remove clears children others still want',
    {
      before: [
        ['a', [store('', 'abc'), store('ab', 'X')]],
        ['b', [store('', 'ab')]],
      ],
      writers: [
        ['a', [remove('ab')]],
        ['b', [store('ab', 'Y')]],
      ],
      reads: ['abX', 'abY'],
    },
  ],
  [
    'the last holder leaves while another comes',
    {
      before: [['a', [store('', 'abc')]]],
      writers: [
        ['a', [remove('a')]],
        ['b', [store('', 'abc')]],
      ],
      reads: ['abc'],
    },
  ],
  [
    'a revived prefix does not revive its descendants',
    {
      before: [
        ['a', [store('', 'abcd'), store('ab', 'X')]],
        ['b', [store('', 'abcd'), store('ab', 'X')]],
      ],
      writers: [
        ['a', [remove('ab'), store('a', 'b')]],
        ['b', [store('abcd', 'e')]],
      ],
      reads: ['abcd'],
    },
  ],
  [
    'a piece that follows two places, met while the first is split',
    {
      before: [['a', [store('', 'abcd')]]],
      writers: [
        ['a', [store('ab', 'e')]],
        ['b', [store('', 'abcde')]],
      ],
      reads: ['abcde'],
    },
  ],
  [
    'one block over and over',
    {
      before: [['a', [store('', 'aaaa')]]],
      writers: [
        ['b', [store('', 'aa'), store('aa', 'aaa')]],
        ['c', [store('', 'aab')]],
      ],
      reads: ['aaaaa'],
    },
  ],
]);

for (const [name, scenario] of scenarios)
  test(`every interleaving: ${name}`, () => expect(interleave(scenario)).toBeGreaterThan(20));

test('long random histories agree with the model, and stale lookups are repaired', () => {
  let repairs = 0;
  for (let seed = 1; seed <= 60; seed++) {
    const random = new SeededRandom(seed);
    const tree = new Tree();
    const model = new Model();
    const letters = 'ab';
    const word = (most: number): string =>
      Array.from(
        { length: 1 + Math.floor(random.fraction() * most) },
        () => letters[Math.floor(random.fraction() * 2)],
      ).join('');
    for (let step = 0; step < 150; step++) {
      const engine = 'efg'[Math.floor(random.fraction() * 3)]!;
      const held = [...model.may]
        .filter((path) => path.startsWith(`${engine}:`))
        .map((path) => path.slice(2));
      const some = held[Math.floor(random.fraction() * held.length)];
      const op =
        random.fraction() < 0.25 && some
          ? remove(some)
          : store(some && random.fraction() < 0.7 ? some : '', word(4));
      finish(writer(tree, model, engine, [op]));
      const text = word(8);
      const found = finish(tree.find(run(text)));
      for (const each of 'efg')
        if ((found.get(each) ?? 0) !== model.held(each, text))
          throw new Error(
            `seed ${seed} step ${step}: ${each} holds ${model.held(each, text)} of ${text}, found ${found.get(each)}`,
          );
    }
    repairs += tree.repairs;
  }
  expect(repairs).toBeGreaterThan(50);
});

test('a store behind a block that is not held is rejected and counted', () => {
  const tree = new Tree();
  finish(tree.store('a', undefined, run('ab')));
  expect(finish(tree.store('a', run('abc').at(-1)!.external, run('d', 'abc')))).toBe('rejected');
  expect(finish(tree.store('b', run('ab').at(-1)!.external, run('c', 'ab')))).toBe('rejected');
  expect(tree.rejected).toBe(2);
});
