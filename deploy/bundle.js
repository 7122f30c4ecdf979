/**
 * Bundles the program for the platform into one file, which starts faster than hundreds of modules: platform/main.ts
 * and all it needs, to target/platform/main.js. It lies two folders deep, so that the schema file is found from it as
 * from the sources. What Nest would only load if it were installed stays outside.
 */
import { build } from 'esbuild';

const optional = ['@nestjs/microservices', '@nestjs/websockets', '@nestjs/platform-express', 'class-transformer', 'class-validator', '@fastify/static', '@fastify/view'];

await build({
  entryPoints: ['platform/main.ts'],
  outfile: 'target/platform/main.js',
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  keepNames: true,
  external: [...optional, ...optional.map((name) => `${name}/*`)],
  banner: { js: "import { createRequire as requireFrom } from 'node:module'; const require = requireFrom(import.meta.url);" },
  logLevel: 'warning',
});
