/**
 * Bundles the program for the platform into one file, which starts faster than hundreds of modules: platform/main.ts
 * and all it needs, to target/platform/main.cjs, with start.cjs beside it, which loads it with the compiled code that a
 * first run leaves there. It lies two folders deep, so that the schema file is found from it as from the sources. What
 * Nest would only load if it were installed stays outside.
 */
import { build } from 'esbuild';
import { copyFile } from 'node:fs/promises';

const optional = [
  '@nestjs/microservices',
  '@nestjs/websockets',
  '@nestjs/platform-express',
  'class-transformer',
  'class-validator',
  '@fastify/static',
  '@fastify/view',
];

await build({
  entryPoints: ['platform/main.ts'],
  outfile: 'target/platform/main.cjs',
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  keepNames: true,
  minifyWhitespace: true,
  minifySyntax: true,
  define: { 'import.meta.url': 'moduleAddress' },
  external: [...optional, ...optional.map((name) => `${name}/*`)],
  banner: { js: "const moduleAddress = require('node:url').pathToFileURL(__filename).href;" },
  logLevel: 'warning',
});
await copyFile('deploy/start.cjs', 'target/platform/start.cjs');
