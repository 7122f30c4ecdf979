/** Modules don't import each other in a circle: not by what they run, nor by types, save where the list below says so. */
import { readdirSync, readFileSync } from 'node:fs';
import { dirname, join, normalize } from 'node:path';
import { expect, test } from 'vitest';
import ts from 'typescript';

type Graph = ReadonlyMap<string, readonly string[]>;

const sourceFiles = (folder: string): string[] =>
  readdirSync(folder, { withFileTypes: true, recursive: true })
    .filter((entry) => entry.isFile() && entry.name.endsWith('.ts'))
    .map((entry) => join(entry.parentPath, entry.name));

const isErased = (statement: ts.ImportDeclaration | ts.ExportDeclaration): boolean => {
  if (ts.isExportDeclaration(statement)) return statement.isTypeOnly;
  const clause = statement.importClause;
  if (!clause) return false;
  if (clause.phaseModifier === ts.SyntaxKind.TypeKeyword) return true;
  const named = clause.namedBindings;
  return (
    !clause.name &&
    named !== undefined &&
    ts.isNamedImports(named) &&
    named.elements.every((element) => element.isTypeOnly)
  );
};

const importedBy = (file: string, text: string, types: boolean): string[] => {
  const source = ts.createSourceFile(file, text, ts.ScriptTarget.ES2022, true);
  const specifiers: string[] = [];
  const visit = (node: ts.Node): void => {
    if (ts.isImportDeclaration(node) || ts.isExportDeclaration(node)) {
      const { moduleSpecifier } = node;
      if (moduleSpecifier && ts.isStringLiteral(moduleSpecifier) && (types || !isErased(node)))
        specifiers.push(moduleSpecifier.text);
    }
    if (ts.isCallExpression(node) && node.expression.kind === ts.SyntaxKind.ImportKeyword) {
      const [argument] = node.arguments;
      if (argument && ts.isStringLiteral(argument)) specifiers.push(argument.text);
    }
    ts.forEachChild(node, visit);
  };
  visit(source);
  return specifiers
    .filter((specifier) => specifier.startsWith('.'))
    .map((specifier) => normalize(join(dirname(file), specifier)).replace(/\.js$/, '.ts'));
};

/** One circle of imports, if there is any: the modules on the way, the first one repeated at the end. */
const circleIn = (graph: Graph): string[] | undefined => {
  const done = new Set<string>();
  const path: string[] = [];
  const follow = (file: string): string[] | undefined => {
    if (path.includes(file)) return [...path.slice(path.indexOf(file)), file];
    if (done.has(file)) return undefined;
    path.push(file);
    for (const imported of graph.get(file) ?? []) {
      const circle = follow(imported);
      if (circle) return circle;
    }
    path.pop();
    done.add(file);
    return undefined;
  };
  for (const file of graph.keys()) {
    const circle = follow(file);
    if (circle) return circle;
  }
  return undefined;
};

const graphOf = (files: ReadonlyMap<string, string>, types: boolean): Graph =>
  new Map([...files].map(([file, text]) => [file, importedBy(file, text, types)]));

const tree = new Map(
  ['src', 'platform'].flatMap(sourceFiles).map((file) => [file, readFileSync(file, 'utf8')]),
);

test('a circle is found: by static, dynamic and re-exporting imports; types alone make none at run time', () => {
  const files = new Map([
    ['a.ts', "import { b } from './b.js';"],
    ['b.ts', "export { c } from './c.js';"],
    ['c.ts', "export const c = () => import('./a.js');"],
  ]);
  expect(circleIn(graphOf(files, false))).toEqual(['a.ts', 'b.ts', 'c.ts', 'a.ts']);
  files.set('c.ts', "import type { A } from './a.js';\nimport { type D } from './a.js';");
  expect(circleIn(graphOf(files, false))).toBeUndefined();
  expect(circleIn(graphOf(files, true))).toEqual(['a.ts', 'b.ts', 'c.ts', 'a.ts']);
});

test('no modules import each other in a circle at run time', () => {
  expect(circleIn(graphOf(tree, false))).toBeUndefined();
});

/** Modules that are put together from parts which name their type again: a host with its clock and net, a voter. */
const typeCirclesKnown: ReadonlySet<string> = new Set([
  'src/register/member.ts',
  'src/sim/host.ts',
]);

test('nor by their types, save where that is listed', () => {
  const rest = new Map([...tree].filter(([file]) => !typeCirclesKnown.has(file)));
  expect(circleIn(graphOf(rest, true))).toBeUndefined();
});
