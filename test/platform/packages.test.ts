/**
 * What a clean build takes from the system: the packages listed in the deploy file, beyond Node.js with npm, and no more.
 * Shown as far as the lock file and the build line tell it: no package compiles or downloads anything as it is installed,
 * none comes from a repository of sources, and the build line calls only node, npm and words of the shell.
 */
import { readFileSync } from 'node:fs';
import { parse } from 'smol-toml';
import { expect, test } from 'vitest';

interface LockedPackage {
  readonly version?: string;
  readonly resolved?: string;
  readonly integrity?: string;
  readonly link?: boolean;
  readonly os?: readonly string[];
  readonly hasInstallScript?: boolean;
  readonly optionalDependencies?: Readonly<Record<string, string>>;
}

interface LockFile {
  readonly packages: Readonly<Record<string, LockedPackage>>;
}

interface DeployFile {
  readonly build: string;
  readonly packages: readonly string[];
}

/** Packages that may run an install script, each with the package whose files make the script do nothing but check them. */
const ALLOWED_INSTALL_SCRIPTS: ReadonlyMap<string, { binary: string; reason: string }> = new Map([
  [
    'node_modules/esbuild',
    {
      binary: 'node_modules/@esbuild/linux-x64',
      reason: 'puts the program of its platform package in place and asks it for its version',
    },
  ],
]);

/** The packages that are only installed on other systems. */
const MAC_ONLY = new Set(['node_modules/fsevents']);

/** Programs that the build line may call: those of Node.js and npm, and what every shell has built in. */
const PROVIDED = new Set(['node', 'npm', '[']);

const lock = JSON.parse(readFileSync('package-lock.json', 'utf8')) as LockFile;
const deploy = parse(readFileSync('deploy/system.toml', 'utf8')) as unknown as DeployFile;
const installed = Object.entries(lock.packages).filter(([place]) => place !== '');

/** The packages of a lock file whose install script isn't one of those known to do no harm. */
const unknownInstallScripts = (
  entries: ReadonlyArray<readonly [string, LockedPackage]>,
): string[] =>
  entries
    .filter(([, { hasInstallScript }]) => hasInstallScript === true)
    .map(([place]) => place)
    .filter((place) => !ALLOWED_INSTALL_SCRIPTS.has(place) && !MAC_ONLY.has(place));

/** The packages of a lock file that don't come from the registry, which checks what it hands out. */
const fromElsewhere = (entries: ReadonlyArray<readonly [string, LockedPackage]>): string[] =>
  entries
    .filter(
      ([, { integrity, link, resolved }]) =>
        integrity === undefined || link === true || (resolved ?? '').startsWith('git'),
    )
    .map(([place]) => place);

/** The programs that a line of shell calls by name. */
const programsOf = (line: string): string[] =>
  line
    .split(/;|&&|\|\||\|/)
    .map((command) => command.trim().split(/\s+/)[0] ?? '')
    .filter((word) => word !== '');

test('the deploy file lists the system packages of a clean build, well-formed and each once', () => {
  expect(Array.isArray(deploy.packages)).toBe(true);
  for (const name of deploy.packages) expect(name).toMatch(/^[a-z0-9][a-z0-9+.-]+$/);
  expect(new Set(deploy.packages).size).toBe(deploy.packages.length);
});

test('no installed package has an install script beyond the allowed ones', () => {
  expect(unknownInstallScripts(installed)).toEqual([]);
});

test('each allowed install script is still there, and finds its program already installed', () => {
  for (const [place, { binary }] of ALLOWED_INSTALL_SCRIPTS) {
    const owner = lock.packages[place];
    expect(owner?.hasInstallScript).toBe(true);
    const name = binary.replace('node_modules/', '');
    expect(owner?.optionalDependencies?.[name]).toBe(owner?.version);
    expect(lock.packages[binary]?.version).toBe(owner?.version);
    expect(lock.packages[binary]?.hasInstallScript).toBeUndefined();
  }
});

test('what is left out as made for other systems is left out by its own word', () => {
  for (const place of MAC_ONLY) expect(lock.packages[place]?.os).toEqual(['darwin']);
});

test('all packages come from the registry with a digest, none from a repository of sources', () => {
  expect(installed.length).toBeGreaterThan(100);
  expect(fromElsewhere(installed)).toEqual([]);
});

test('the build line calls nothing but node, npm and words of the shell', () => {
  expect(programsOf(deploy.build)).toContain('npm');
  expect(programsOf(deploy.build).filter((name) => !PROVIDED.has(name))).toEqual([]);
});

test('what must not pass is found', () => {
  const digest = 'sha512-x';
  expect(
    unknownInstallScripts([
      ['node_modules/compiled', { integrity: digest, hasInstallScript: true }],
    ]),
  ).toEqual(['node_modules/compiled']);
  expect(
    fromElsewhere([
      ['node_modules/cloned', { integrity: digest, resolved: 'git+ssh://sources/cloned.git' }],
      ['node_modules/unchecked', {}],
    ]),
  ).toEqual(['node_modules/cloned', 'node_modules/unchecked']);
  expect(programsOf('[ a -nt b ] || make all; git clone x && node y | python3 z')).toEqual([
    '[',
    'make',
    'git',
    'node',
    'python3',
  ]);
});
