/**
 * Talking to peers: `ask` sends a call to an address and waits for its reply within a limit; `serve` takes calls for
 * which a handler was named. Each channel has one task, straight down: hello, then frames until it closes. The hello
 * carries the fleet's id, and a process of another fleet is turned away before it can ask anything. A frame that is
 * malformed, oversized, of another wire generation or of an unknown call closes that one channel with one log line.
 */
import { Right } from 'purify-ts';
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

interface Line {
  readonly channel: Channel;
  readonly waiting: Map<number, (frame: Frame | undefined) => void>;
  /** When the last frame came in. */
  heard: number;
}

const WAITING_BOUND = 4096;
const HELLO_LIMIT = 2000;
/** How long a connection may take to come up; after a cut, one that was begun in it must not hold up the next. */
const DIAL_LIMIT = 400;
/** How many silent addresses are remembered, the latest ones. */
const SILENT_BOUND = 1024;

/** What the frame says that answers a call; there is none where the channel closed first. */
const readReply = <A, R>(
  call: Call<A, R>,
  frame: Frame | undefined,
  address: string,
): Outcome<R> => {
  if (!frame)
    return failed(`${call.name}.reply`, address, 'the channel closed before the reply', 'unknown');
  if (frame.stage !== Stage.decline)
    return decode(call.reply, frame.body, `${call.name}.reply`, address);
  const decline = decode(declineField, frame.body, `${call.name}.decline`, address);
  return decline.chain(({ reason }) =>
    failed(call.name, address, reason, 'declined', 'refused-by-peer'),
  );
};

/** Calls to other processes of the fleet, and answers to theirs. */
export class Peers {
  private readonly handlers = new Map<number, Handler>();
  private readonly lines = new Map<string, Promise<Outcome<Line>>>();
  private readonly accepted = new Set<Channel>();
  /** Addresses that left the last ask unanswered, until they are heard again. */
  private readonly silent = new Set<string>();
  private listener: Listener | undefined;
  private calls = 0;
  private closed = false;

  constructor(
    private readonly net: Net,
    private readonly clock: Clock,
    private readonly log: Log,
    readonly self: Hello,
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

  async serve(address: string): Promise<Outcome<Listener>> {
    const listening = await this.net.listen(address, (channel) => void this.answer(channel));
    listening.ifRight((listener) => {
      this.listener = listener;
    });
    return listening;
  }

  async ask<A, R>(address: string, call: Call<A, R>, ask: A, limit: number): Promise<Outcome<R>> {
    const end = this.clock.now() + limit;
    const opened = await within(this.clock, limit, this.line(address, limit));
    if (!opened || opened.isLeft()) this.noteSilent(address);
    if (!opened) return failed(`${call.name}.dial`, address, `no channel within ${limit} ms`);
    if (opened.isLeft()) return opened;
    const line = opened.extract() as Line;
    if (line.waiting.size >= WAITING_BOUND)
      return failed(`${call.name}.send`, address, 'too many calls waiting');
    const number = (this.calls = (this.calls + 1) % 0xffffffff);
    const sent = encodeFrame(Stage.ask, call.code, number, encode(call.ask, ask));
    const arrival = this.arrival(line, number, Math.max(1, end - this.clock.now()));
    if (!line.channel.send(sent)) {
      line.waiting.get(number)?.(undefined);
      return failed(`${call.name}.send`, address, 'the channel is closed');
    }
    const frame = await arrival;
    if (frame === 'late' && line.heard < end - limit) this.abandon(address, line, opened);
    if (frame === 'late')
      return failed(`${call.name}.reply`, address, `no reply within ${limit} ms`, 'unknown');
    return readReply(call, frame, address);
  }

  /** The frame that answers a call, nothing once the channel has closed, or that it is late. */
  private arrival(line: Line, number: number, limit: number): Promise<Frame | 'late' | undefined> {
    return new Promise((resolve) => {
      const settle = (frame: Frame | 'late' | undefined): void => {
        cancel();
        line.waiting.delete(number);
        resolve(frame);
      };
      const cancel = this.clock.schedule(limit, () => settle('late'));
      line.waiting.set(number, settle);
    });
  }

  /** Whether the last ask to an address went unanswered for its whole limit, or found nobody there. */
  isSilent(address: string): boolean {
    return this.silent.has(address);
  }

  close(): void {
    this.closed = true;
    this.listener?.close();
    for (const channel of this.accepted) channel.close();
    for (const line of this.lines.values())
      void line.then((opened) => opened.ifRight(({ channel }) => channel.close()));
    this.lines.clear();
  }

  /** Nothing at all came back for a whole limit: the other end may be gone without a word, so the next ask dials anew. */
  private abandon(address: string, line: Line, opened: Outcome<Line>): void {
    this.noteSilent(address);
    this.log('channel-closed', [
      ['peer', address],
      ['reason', 'silent for a whole limit'],
    ]);
    line.channel.close();
    const known = this.lines.get(address);
    void known?.then((current) => {
      if (current === opened && this.lines.get(address) === known) this.lines.delete(address);
    });
  }

  private noteSilent(address: string): void {
    this.silent.delete(address);
    this.silent.add(address);
    const [oldest] = this.silent;
    if (this.silent.size > SILENT_BOUND && oldest !== undefined) this.silent.delete(oldest);
  }

  private line(address: string, limit: number): Promise<Outcome<Line>> {
    const known = this.lines.get(address);
    if (known) return known;
    const opening = this.open(address, limit).then((opened) => {
      if (opened.isLeft() && this.lines.get(address) === opening) this.lines.delete(address);
      return opened;
    });
    this.lines.set(address, opening);
    return opening;
  }

  private async open(address: string, limit: number): Promise<Outcome<Line>> {
    if (this.closed) return failed('wire.dial', address, 'this process is closing');
    const dialled = await this.net.dial(address, Math.min(DIAL_LIMIT, limit));
    if (dialled.isLeft()) return dialled;
    const channel = dialled.extract() as Channel;
    channel.send(encodeFrame(Stage.ask, HELLO, 0, encode(helloField, this.self)));
    const bytes = await within(this.clock, limit, channel.receive());
    const hello = bytes
      ? decodeFrame(bytes, address).chain((frame) =>
          decode(helloField, frame.body, 'wire.hello', address),
        )
      : failed<Hello>('wire.hello', address, 'no hello came back');
    const sound = hello.chain((they) =>
      they.fleet === this.self.fleet
        ? Right(they)
        : failed<Hello>('wire.hello', address, `belongs to fleet ${they.fleet}`),
    );
    if (sound.isLeft()) {
      channel.close();
      return sound;
    }
    const line: Line = { channel, waiting: new Map(), heard: this.clock.now() };
    this.silent.delete(address);
    void this.collect(address, line);
    return Right(line);
  }

  private async collect(address: string, line: Line): Promise<void> {
    for (let bytes = await line.channel.receive(); bytes; bytes = await line.channel.receive()) {
      const frame = decodeFrame(bytes, address);
      if (frame.isLeft()) {
        this.log('channel-closed', [
          ['peer', address],
          ['reason', frame.extract().reason],
        ]);
        break;
      }
      const reply = frame.extract() as Frame;
      line.heard = this.clock.now();
      this.silent.delete(address);
      line.waiting.get(reply.number)?.(reply);
    }
    line.channel.close();
    const known = this.lines.get(address);
    if (known && ((await known).extract() as Line) === line) this.lines.delete(address);
    for (const settle of line.waiting.values()) settle(undefined);
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
