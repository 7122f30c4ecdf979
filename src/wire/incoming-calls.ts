/**
 * The calls that come in from peers, answered by their handlers. The hello of a channel carries the fleet's id, and a process
 * of another fleet is turned away before it can ask anything. A frame that is malformed, oversized, of another wire
 * generation or of an unknown call closes that one channel with one log line.
 */
import { within, type Clock } from '../kernel/clock/clock.js';
import { failed, reasonOf, type Outcome } from '../kernel/fault/fault.js';
import type { Log } from '../kernel/log/log.js';
import type { Channel, Listener, Net } from '../kernel/net/net.js';
import {
  declineField,
  decodeFrame,
  encodeFrame,
  HELLO,
  helloField,
  Stage,
  type Call,
  type Frame,
  type Hello,
} from './call.js';
import { decode, encode } from './field.js';

type Handler = (body: Uint8Array, peer: string) => Promise<Outcome<Uint8Array>>;

const HELLO_LIMIT = 2000;

/** Takes calls on the channels that peers open. */
export class IncomingCalls {
  private readonly handlers = new Map<number, Handler>();
  private readonly accepted = new Set<Channel>();
  private listener: Listener | undefined;

  constructor(
    private readonly clock: Clock,
    private readonly log: Log,
    private readonly self: Hello,
  ) {}

  handle<A, R>(
    call: Call<A, R>,
    act: (ask: A, peer: string) => Promise<Outcome<R>> | Outcome<R>,
  ): void {
    this.handlers.set(call.code, async (body, peer) => {
      const ask = decode(call.ask, body, `${call.name}.ask`, peer);
      if (ask.isLeft()) return ask;
      const reply = await act(ask.extract() as A, peer);
      return reply.map((value) => encode(call.reply, value));
    });
  }

  async serve(net: Net, address: string): Promise<Outcome<Listener>> {
    const listening = await net.listen(address, (channel) => void this.answer(channel));
    listening.ifRight((listener) => {
      this.listener = listener;
    });
    return listening;
  }

  close(): void {
    this.listener?.close();
    for (const channel of this.accepted) channel.close();
  }

  private async answer(channel: Channel): Promise<void> {
    this.accepted.add(channel);
    const reason = await this.converse(channel);
    if (reason)
      this.log('channel-closed', [
        ['peer', channel.peer],
        ['reason', reason],
      ]);
    channel.close();
    this.accepted.delete(channel);
  }

  private async converse(channel: Channel): Promise<string | undefined> {
    const first = await within(this.clock, HELLO_LIMIT, channel.receive());
    if (!first) return 'no hello';
    const hello = decodeFrame(first, channel.peer).chain((frame) =>
      frame.code === HELLO
        ? decode(helloField, frame.body, 'wire.hello', channel.peer)
        : failed<Hello>('wire.hello', channel.peer, 'spoke before its hello'),
    );
    if (hello.isLeft()) return hello.extract().reason;
    const they = hello.extract() as Hello;
    channel.send(encodeFrame(Stage.reply, HELLO, 0, encode(helloField, this.self)));
    if (they.fleet !== this.self.fleet) return `a process of fleet ${they.fleet}`;
    const peer = `${they.name}@${channel.peer}`;
    for (let bytes = await channel.receive(); bytes; bytes = await channel.receive()) {
      const decoded = decodeFrame(bytes, peer);
      if (decoded.isLeft()) return decoded.extract().reason;
      const frame = decoded.extract() as Frame;
      const handler = this.handlers.get(frame.code);
      if (!handler || frame.stage !== Stage.ask) return `no call ${frame.code} here`;
      void this.respond(channel, frame, handler, peer);
    }
    return undefined;
  }

  private async respond(
    channel: Channel,
    frame: Frame,
    handler: Handler,
    peer: string,
  ): Promise<void> {
    const reply = await handler(frame.body, peer).catch((thrown: unknown) =>
      failed<Uint8Array>('wire.handler', peer, reasonOf(thrown)),
    );
    reply.caseOf({
      Right: (body) => channel.send(encodeFrame(Stage.reply, frame.code, frame.number, body)),
      Left: ({ step, reason }) =>
        channel.send(
          encodeFrame(
            Stage.decline,
            frame.code,
            frame.number,
            encode(declineField, { reason: `${step}: ${reason}`.slice(0, 2000) }),
          ),
        ),
    });
  }
}
