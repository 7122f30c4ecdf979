/**
 * Header fields of a request or an answer, in order and as they came. Those that concern a single connection only are
 * told apart from those that are handed on: the ones RFC 9110 names, and any that the Connection field lists.
 */
export type Fields = ReadonlyArray<readonly [name: string, value: string]>;

const hop = new Set([
  'connection',
  'keep-alive',
  'proxy-connection',
  'proxy-authenticate',
  'proxy-authorization',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
  'expect',
  'http2-settings',
]);

/** Pairs from the flat list of names and values that Node and undici give. */
export const fieldsOf = (flat: ReadonlyArray<string | Buffer>): Fields => {
  const fields: Array<readonly [string, string]> = [];
  for (let at = 0; at + 1 < flat.length; at += 2)
    fields.push([text(flat[at]!), text(flat[at + 1]!)]);
  return fields;
};

const text = (value: string | Buffer): string =>
  typeof value === 'string' ? value : value.toString('latin1');

/** The value of a field that stands once; undefined when it is missing or stands more often. */
export const only = (fields: Fields, name: string): string | undefined => {
  const found = fields.filter(([each]) => each.toLowerCase() === name);
  return found.length === 1 ? found[0]![1] : undefined;
};

/** What is handed on, without the names given besides. */
export const endToEnd = (
  fields: Fields,
  without: ReadonlySet<string>,
): Array<readonly [string, string]> => {
  const listed = new Set(
    fields
      .filter(([name]) => name.toLowerCase() === 'connection')
      .flatMap(([, value]) => value.split(',').map((token) => token.trim().toLowerCase())),
  );
  return fields.filter(([name]) => {
    const lower = name.toLowerCase();
    return !hop.has(lower) && !listed.has(lower) && !without.has(lower);
  });
};
