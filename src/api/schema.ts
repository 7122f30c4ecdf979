/**
 * The operator calls as the schema file states them: types made from it, and checks compiled from the same file. The file
 * is read at the first call, since a node that starts has requests to serve before.
 */
import { Ajv } from 'ajv';
import { readFileSync } from 'node:fs';
import { fileURLToPath } from 'node:url';
import { Right } from 'purify-ts';
import { parse } from 'yaml';
import { failed, type Outcome } from '../kernel/fault/fault.js';
import type { components } from './generated.js';

/** The schemas of the file, by name. */
export type Schemas = components['schemas'];

/** One place the file is found in from both the sources and the build. */
const file = fileURLToPath(new URL('../../schema/rudderridge.yaml', import.meta.url));

/** Checks what operators send against the schema file. */
export class SchemaCheck {
  private compiled: Ajv | undefined;

  check<K extends keyof Schemas>(name: K, value: unknown): Outcome<Schemas[K]> {
    this.compiled ??= new Ajv({ strict: false, allErrors: false }).addSchema(
      parse(readFileSync(file, 'utf8')) as object,
      'rudderridge',
    );
    const validate = this.compiled.getSchema(`rudderridge#/components/schemas/${name}`);
    if (!validate) return failed('schema.check', 'operator', `no schema ${name}`);
    if (validate(value)) return Right(value as Schemas[K]);
    const [error] = validate.errors ?? [];
    return failed(
      'schema.check',
      'operator',
      `${error?.instancePath || 'the body'} ${error?.message ?? 'does not fit'}`,
    );
  }
}
