/**
 * Talking to peers: `ask` sends a call to an address and waits for its reply within a limit; `serve` takes calls for
 * which a handler was named. Each channel has one task, straight down: hello, then frames until it closes.
 */
import { Right } from 'purify-ts';
import { within, type Clock } from '../kernel/clock/clock.js';
import { failed, type Outcome } from '../kernel/fault/fault.js';
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
import { IncomingCalls } from './incoming-calls.js';

interface Line {
  readonly channel: Channel;
  readonly waiting: Map<number, (frame: Frame | undefined) => void>;
}

/**
 * What the limit of an ask bounds: the time until the whole reply is in, or, for replies that may be large, each span in
 * which no part of a reply comes in. A large reply takes as long as the link needs, and begun anew it would take longer.
 */
export type LimitOn = 'reply' | 'silence';

const WAITING_BOUND = 4096;
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
  private readonly incoming: IncomingCalls;
  private readonly lines = new Map<string, Promise<Outcome<Line>>>();
  /** The channels that are open, by the address that was dialled. */
  private readonly channels = new Map<string, Channel>();
  /** Addresses that left the last ask unanswered, until they are heard again. */
  private readonly silent = new Set<string>();
  private calls = 0;
  private closed = false;

  constructor(
    private readonly net: Net,
    private readonly clock: Clock,
    private readonly log: Log,
    readonly self: Hello,
  ) {
    this.incoming = new IncomingCalls(clock, log, self);
  }

  handle<A, R>(
    call: Call<A, R>,
    act: (ask: A, peer: string) => Promise<Outcome<R>> | Outcome<R>,
  ): void {
    this.incoming.handle(call, act);
  }

  serve(address: string): Promise<Outcome<Listener>> {
    return this.incoming.serve(this.net, address);
  }

  async ask<A, R>(
    address: string,
    call: Call<A, R>,
    ask: A,
    limit: number,
    limitOn: LimitOn = 'reply',
  ): Promise<Outcome<R>> {
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
    const before = line.channel.received;
    const arrival = this.arrival(line, number, Math.max(1, end - this.clock.now()), limitOn);
    if (!line.channel.send(sent)) {
      line.waiting.get(number)?.(undefined);
      return failed(`${call.name}.send`, address, 'the channel is closed');
    }
    const frame = await arrival;
    if (frame === 'late' && line.channel.received === before) this.abandon(address, line, opened);
    if (frame === 'late')
      return failed(`${call.name}.reply`, address, `no reply within ${limit} ms`, 'unknown');
    return readReply(call, frame, address);
  }

  /** The frame that answers a call, nothing once the channel has closed, or that it is late. */
  private arrival(
    { channel, waiting }: Line,
    number: number,
    limit: number,
    limitOn: LimitOn,
  ): Promise<Frame | 'late' | undefined> {
    return new Promise((resolve) => {
      const settle = (frame: Frame | 'late' | undefined): void => {
        cancel();
        waiting.delete(number);
        resolve(frame);
      };
      let { received } = channel;
      const expire = (): void => {
        const isComingIn = channel.isReceiving && channel.received > received;
        if (limitOn === 'reply' || !isComingIn) return settle('late');
        ({ received } = channel);
        cancel = this.clock.schedule(limit, expire);
      };
      let cancel = this.clock.schedule(limit, expire);
      waiting.set(number, settle);
    });
  }

  /** Bytes that have come in from an address, on the channel to it that is open now; 0 where there is none. */
  received(address: string): number {
    return this.channels.get(address)?.received ?? 0;
  }

  /** Whether a part of a frame from an address has come in, and the rest has not. */
  isReceiving(address: string): boolean {
    return this.channels.get(address)?.isReceiving ?? false;
  }

  /** Whether the last ask to an address went unanswered for its whole limit, or found nobody there. */
  isSilent(address: string): boolean {
    return this.silent.has(address);
  }

  close(): void {
    this.closed = true;
    this.incoming.close();
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
    const line: Line = { channel, waiting: new Map() };
    this.silent.delete(address);
    this.channels.set(address, channel);
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
      this.silent.delete(address);
      line.waiting.get(reply.number)?.(reply);
    }
    line.channel.close();
    if (this.channels.get(address) === line.channel) this.channels.delete(address);
    const known = this.lines.get(address);
    if (known && ((await known).extract() as Line) === line) this.lines.delete(address);
    for (const settle of line.waiting.values()) settle(undefined);
  }
}
