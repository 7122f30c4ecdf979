/** Params: the message for a bad or unknown field names it, what it holds and what was expected. */
import { expect, test } from 'vitest';
import { checkDoorway } from '../../src/doorway/shape.js';
import { advertisedAddress, checkParams } from '../../src/params/shape.js';
import { parseList } from '../../src/pool/engine.js';

const reason = (outcome: { extract(): unknown }): string =>
  (outcome.extract() as { reason: string }).reason;

test('params are checked', () => {
  expect(checkParams({ name: 'n' }).isRight()).toBe(true);
  expect(reason(checkParams({}))).toMatch(/^name is nothing: expected/);
  expect(reason(checkParams({ name: 'n', listen: { peers: 'here' } }))).toMatch(
    /^listen\.peers is "here": .*expected IP:PORT/,
  );
  expect(reason(checkParams({ name: 'n', surprise: 1 }))).toMatch(
    /^surprise is 1: expected nothing/,
  );
  expect(reason(checkParams({ name: 'n', passage: { retryShare: 0.5 } }))).toMatch(
    /^passage\.retryShare is 0\.5: .*from 0 to 0\.05/,
  );
});

test('the peer address told to others is the one listened on unless another is named', () => {
  const advertised = (listen: object): string =>
    checkParams({ name: 'n', listen }).map(advertisedAddress).unsafeCoerce();
  expect(advertised({ peers: '10.0.0.1:6100' })).toBe('10.0.0.1:6100');
  expect(advertised({ peers: '10.0.0.1:6100', advertise: '10.9.0.1:7100' })).toBe('10.9.0.1:7100');
  expect(reason(checkParams({ name: 'n', listen: { advertise: 'here' } }))).toMatch(
    /^listen\.advertise is "here": .*expected IP:PORT/,
  );
});

test('doorways and the platform list are checked', () => {
  expect(reason(checkDoorway({ name: 'UPPER' }))).toMatch(/^\w+ is/);
  expect(reason(parseList('{"engines":[{"identifier":"e"}]}', 'p'))).toMatch(
    /^engines\.0\.\w+ is nothing/,
  );
  expect(reason(parseList('nonsense', 'p'))).toMatch(/JSON/);
});
