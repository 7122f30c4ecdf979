/**
 * Clients send requests whose header has many small fields, well inside `max_header_bytes`. The engine notes what it
 * runs; its body and its fields must be the client's.
 */
import { createHash, randomBytes } from 'node:crypto';
import { Engine, answerWhole, configurationOf, openRaw, runCase, until } from '../world.mjs';

const REQUESTS = 6;
const MAX_HEADER_BYTES = 16_384;
const FEW = 20;
const MANY = 1500;

const digestOf = (bytes) => createHash('sha256').update(bytes).digest('hex').slice(0, 16);

const headOf = (id, fields, bytes) =>
  [
    'POST /once/draft HTTP/1.1',
    'Host: planner.example',
    `Rudderridge-Request-Id: ${id}`,
    'Rudderridge-Deadline-Milliseconds: 5000',
    ...Array.from({ length: fields }, (_, at) => `x-${at}: 1`),
    'Rudderridge-Model: m',
    'Rudderridge-Token-Counts: 1460,80',
    `Content-Length: ${bytes}`,
    '\r\n',
  ].join('\r\n');

await runCase(import.meta.dirname, async (world, isTroubled, note) => {
  await world.start();
  const engine = await new Engine(world, 1, answerWhole).start();
  await world.configure(configurationOf(2), 0);
  await world.ready();
  const changed = [];
  for (let number = 1; number <= REQUESTS; number++) {
    const id = `request-${number}`;
    const body = randomBytes(2000);
    const head = headOf(id, isTroubled ? MANY : FEW, body.length);
    if (head.length > MAX_HEADER_BYTES) throw new Error('the header is over the limit');
    const client = await openRaw(world.front());
    client.socket.write(head, 'latin1');
    client.socket.write(body);
    await until(
      `${id} is answered`,
      6000,
      () => client.closed || client.received.includes('\r\n\r\n'),
    );
    const status = client.received.split('\r\n', 1)[0];
    client.socket.destroy();
    const run = engine.runs.find((each) => each.id === id);
    note(
      `sent ${id}: header of ${head.length} bytes, body of ${body.length} bytes, sha256 ${digestOf(body)}`,
    );
    note(`answered ${id}: ${status}`);
    if (!run) continue;
    const { headers } = run;
    note(
      `run ${id}: ${run.line}, body of ${run.body.length} bytes, sha256 ${digestOf(run.body)}, ` +
        `model ${headers['rudderridge-model']}, counts ${headers['rudderridge-token-counts']}`,
    );
    if (digestOf(run.body) !== digestOf(body) || headers['rudderridge-model'] !== 'm')
      changed.push(id);
  }
  engine.stop();
  return (
    changed.length > 0 && `UNASKED: an engine ran with another body or model: ${changed.join(' ')}`
  );
});
