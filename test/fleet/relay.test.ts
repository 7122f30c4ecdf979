/** The relay of the soak: what is handed on, held back in one direction or both, delayed, lost and reset, link by link. */
import { createServer, connect, type Server, type Socket } from 'node:net';
import { once } from 'node:events';
import { Right } from 'purify-ts';
import { afterEach, expect, test } from 'vitest';
import { SystemClock } from '../../src/kernel/clock/clock.js';
import { silentLog } from '../../src/kernel/log/log.js';
import { TcpNet } from '../../src/kernel/net/net.js';
import { peerIdentity } from '../../src/fleet/relay/peer-identity.js';
import { Relay } from '../../src/fleet/relay/relay.js';
import { call } from '../../src/wire/call.js';
import { struct, text } from '../../src/wire/field.js';
import { Peers } from '../../src/wire/peers.js';

const open: Array<{ close(): unknown }> = [];
afterEach(() => {
  for (const each of open.splice(0)) each.close();
});

const echo = async (): Promise<string> => {
  const server: Server = createServer({ allowHalfOpen: true }, (socket) => {
    socket.on('error', () => undefined);
    socket.pipe(socket);
  });
  open.push(server);
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  return `127.0.0.1:${(server.address() as { port: number }).port}`;
};

const dial = async (address: string): Promise<{ socket: Socket; got: () => string }> => {
  const socket = connect({ host: '127.0.0.1', port: Number(address.split(':')[1]) });
  socket.on('error', () => undefined);
  let text = '';
  socket.on('data', (chunk: Buffer) => (text += chunk.toString()));
  await once(socket, 'connect');
  open.push({ close: () => socket.destroy() });
  return { socket, got: () => text };
};

const closed = (socket: Socket): Promise<void> =>
  new Promise((resolve) => {
    if (socket.destroyed) resolve();
    else socket.once('close', () => resolve());
  });

const relayTo = async (target: string): Promise<{ relay: Relay; address: string }> => {
  const relay = new Relay(() => target);
  open.push(relay);
  return { relay, address: await relay.listen('127.0.0.1:0') };
};

const until = (condition: () => boolean): Promise<void> =>
  expect.poll(condition, { timeout: 30_000, interval: 5 }).toBe(true);

/** Sends something on a second connection and has it answered, by when the first one's bytes would have come too. */
const roundTrip = async (address: string): Promise<void> => {
  const { socket, got } = await dial(address);
  socket.write('other');
  await until(() => got() === 'other');
};

test('bytes and the end of a connection are handed on in both directions', async () => {
  const { address } = await relayTo(await echo());
  const { socket, got } = await dial(address);
  const large = 'x'.repeat(3_000_000);
  socket.end(large);
  await closed(socket);
  expect(got()).toBe(large);
});

test('a held direction keeps its bytes in order until the fault ends, and overlapping faults end each for itself', async () => {
  const target = await echo();
  const { relay, address } = await relayTo(target);
  for (const fault of [{ holdForward: true }, { holdBackward: true }]) {
    const { socket, got } = await dial(address);
    const first = relay.all.apply(fault);
    const second = relay.all.apply({ ...fault, delay: 1 });
    socket.write('one');
    socket.write('two');
    await roundTrip(target);
    first();
    await roundTrip(target);
    expect(got()).toBe('');
    second();
    await until(() => got() === 'onetwo');
  }
});

test('an answer is lost: the request went through and the connection is reset', async () => {
  let received = '';
  const server = createServer((socket) => {
    socket.on('error', () => undefined);
    socket.on('data', (chunk: Buffer) => {
      received += chunk.toString();
      socket.write('answer');
    });
  });
  open.push(server);
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const { relay, address } = await relayTo(
    `127.0.0.1:${(server.address() as { port: number }).port}`,
  );
  relay.all.apply({ loseAnswers: true });
  const { socket, got } = await dial(address);
  socket.write('order');
  await closed(socket);
  expect([received, got()]).toEqual(['order', '']);
});

test('connections are reset once, or refused as long as the fault lasts', async () => {
  const { relay, address } = await relayTo(await echo());
  const { socket } = await dial(address);
  socket.write('x');
  await once(socket, 'data');
  relay.all.reset();
  await closed(socket);
  const end = relay.all.apply({ refuse: true });
  const refused = connect({ host: '127.0.0.1', port: Number(address.split(':')[1]) });
  refused.on('error', () => undefined);
  await closed(refused);
  end();
  await roundTrip(address);
});

test('a target that is not there resets the connection', async () => {
  const { address } = await relayTo('127.0.0.1:9');
  const { socket } = await dial(address);
  await closed(socket);
  expect(socket.destroyed).toBe(true);
});

test('the links of peers are told apart by their hello', async () => {
  const greet = call(77, 'greet', struct<{ to: string }>({ to: text }), struct({ from: text }));
  const peersOf = (name: string): Peers => {
    const self = { fleet: 'f', name, incarnation: name };
    const peers = new Peers(new TcpNet(), new SystemClock(), silentLog, self);
    open.push(peers);
    return peers;
  };
  const [one, other, served] = ['one', 'other', 'served'].map(peersOf);
  served!.handle(greet, () => Right({ from: 'served' }));
  const listener = (await served!.serve('127.0.0.1:0')).unsafeCoerce();
  const relay = new Relay(() => listener.address, peerIdentity);
  open.push(relay);
  const address = await relay.listen('127.0.0.1:0');
  const asks = (peers: Peers): Promise<boolean> =>
    peers.ask(address, greet, { to: 'served' }, 300).then((reply) => reply.isRight());
  expect([await asks(one!), await asks(other!)]).toEqual([true, true]);
  const heal = relay.from('one').apply({ holdBackward: true });
  expect([await asks(one!), await asks(other!)]).toEqual([false, true]);
  heal();
  expect([await asks(one!), await asks(other!)]).toEqual([true, true]);
});
