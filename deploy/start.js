/**
 * Loads the bundled program with the compiled code beside it, which saves a part of the start-up; without that code, or
 * with one of another build, it is compiled as usual. `start.js --keep` runs the bundle without a role and leaves the
 * compiled code for later starts; it must be run with the same V8 flags as they are.
 * A daemon that is told to read its settings again while it still loads does so once it runs.
 */
import { existsSync, readFileSync, writeFileSync } from 'node:fs';
import { createRequire } from 'node:module';
import { dirname } from 'node:path';
import { fileURLToPath } from 'node:url';
import { Script } from 'node:vm';

// Until the program reads its settings there is nothing to read again, and the signal must not end the process.
if (process.argv[2] !== '--keep') process.on('SIGHUP', () => undefined);

const bundle = fileURLToPath(new URL('main.cjs', import.meta.url));
const kept = `${bundle}.code`;
const keeping = process.argv[2] === '--keep';
const source = `(function (exports, require, module, __filename, __dirname) {${readFileSync(bundle, 'utf8')}\n})`;
const script = new Script(source, {
  filename: bundle,
  ...(!keeping && existsSync(kept) && { cachedData: readFileSync(kept) }),
});

if (keeping) {
  process.on('exit', () => {
    writeFileSync(kept, script.createCachedData());
    process.exitCode = 0;
  });
}
const held = { exports: {} };
script.runInThisContext()(held.exports, createRequire(bundle), held, bundle, dirname(bundle));
