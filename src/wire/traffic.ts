/**
 * Counts the frames between our processes by call, by way and by the kind of the other end. It is laid around a net, so
 * that real and simulated nodes are counted alike. Bytes are those of the frame and of the length before it; what TCP
 * and IP add is not seen here.
 */
import type { Outcome } from '../kernel/fault/fault.js';
import type { Channel, Listener, Net } from '../kernel/net/net.js';
import { callNames, HELLO } from './call.js';

/** Whether frames were sent or received. */
export type Way = 'sent' | 'received';

/** How many frames of one kind went one way, and their bytes. */
export interface Count {
  readonly way: Way;
  readonly call: string;
  /** What the other end is, as far as the one who laid out the counting can tell. */
  readonly peer: string;
  messages: number;
  bytes: number;
}

const CODE_AT = 6;
const LENGTH_BYTES = 4;

const callOf = (frame: Uint8Array): string => {
  const code = frame[CODE_AT];
  if (code === undefined) return 'short';
  return code === HELLO ? 'wire.hello' : (callNames.get(code) ?? 'other');
};

/** Sums of one node since its start. */
export class Traffic {
  private readonly table = new Map<string, Count>();

  note(way: Way, peer: string, frame: Uint8Array): void {
    const call = callOf(frame);
    const key = `${way} ${call} ${peer}`;
    const known = this.table.get(key) ?? { way, call, peer, messages: 0, bytes: 0 };
    known.messages += 1;
    known.bytes += frame.length + LENGTH_BYTES;
    this.table.set(key, known);
  }

  get counts(): Count[] {
    return [...this.table.values()].map((count) => ({ ...count }));
  }
}

class CountedChannel implements Channel {
  constructor(
    private readonly inner: Channel,
    private readonly traffic: Traffic,
    private readonly kind: string,
  ) {}

  get peer(): string {
    return this.inner.peer;
  }

  get received(): number {
    return this.inner.received;
  }

  get isReceiving(): boolean {
    return this.inner.isReceiving;
  }

  send(frame: Uint8Array): boolean {
    const sent = this.inner.send(frame);
    if (sent) this.traffic.note('sent', this.kind, frame);
    return sent;
  }

  async receive(): Promise<Uint8Array | undefined> {
    const frame = await this.inner.receive();
    if (frame) this.traffic.note('received', this.kind, frame);
    return frame;
  }

  close(): void {
    this.inner.close();
  }
}

/** A net that counts the frames that go through it. */
export class CountedNet implements Net {
  /** `kindOf` tells what an address or the name of a channel's other end stands for. */
  constructor(
    private readonly inner: Net,
    private readonly traffic: Traffic,
    private readonly kindOf: (peer: string) => string = () => 'node',
  ) {}

  listen(address: string, accept: (channel: Channel) => void): Promise<Outcome<Listener>> {
    return this.inner.listen(address, (channel) => accept(this.counted(channel)));
  }

  async dial(address: string, limit: number): Promise<Outcome<Channel>> {
    return (await this.inner.dial(address, limit)).map((channel) => this.counted(channel));
  }

  private counted(channel: Channel): Channel {
    return new CountedChannel(channel, this.traffic, this.kindOf(channel.peer));
  }
}
