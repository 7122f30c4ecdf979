/** The network of a simulated host: channels whose frames the world delays, loses, repeats or cuts off. */
import { Right } from 'purify-ts';
import { failed, type Outcome } from '../kernel/fault/fault.js';
import { Inbox, type Channel, type Listener, type Net } from '../kernel/net/net.js';
import type { Host } from './host.js';
import type { LinkReceiver } from './link.js';

/** One end of a channel between two hosts. */
export class SimChannel implements Channel, LinkReceiver {
  private readonly inbox = new Inbox();
  private closed = false;
  other: SimChannel | undefined;
  private lastArrival = 0;
  received = 0;
  isReceiving = false;

  constructor(
    private readonly host: Host,
    readonly peer: string,
  ) {
    host.own(this);
  }

  send(frame: Uint8Array): boolean {
    const { other } = this;
    if (this.closed || this.host.dead || !other) return false;
    const { world } = this.host;
    if (world.isCut(this.host.name, other.host.name)) return true;
    const fate = world.net.mishap(this.host.name, other.host.name, frame);
    if (fate === 'drop') return true;
    const copy = Uint8Array.from(frame);
    const arrive = (): void => other.arrive(copy);
    this.lastArrival = Math.max(this.lastArrival, world.now + world.delay());
    if (fate === 'late') world.at(1800, arrive);
    else world.at(this.lastArrival - world.now, arrive);
    if (fate === 'twice') world.at(this.lastArrival - world.now + 300, arrive);
    return true;
  }

  receive(): Promise<Uint8Array | undefined> {
    return this.inbox.take();
  }

  get isClosed(): boolean {
    return this.closed || this.host.dead;
  }

  receivePiece(bytes: number, frame: Uint8Array | undefined): void {
    this.host.reach(() => {
      this.received += bytes;
      this.isReceiving = frame === undefined;
      if (frame) this.take(frame);
    });
  }

  /** A frame has reached the machine of this end. */
  private arrive(frame: Uint8Array): void {
    if (this.host.link) this.host.link.carry(this, frame);
    else this.receivePiece(frame.length, frame);
  }

  private take(frame: Uint8Array): void {
    if (!this.closed) this.inbox.put(frame);
  }

  close(): void {
    if (this.closed) return;
    this.end();
    this.tellOther();
  }

  sever(): void {
    this.closed = true;
    this.tellOther();
  }

  private tellOther(): void {
    const { other } = this;
    if (!other) return;
    const { world } = this.host;
    if (!world.isCut(this.host.name, other.host.name))
      world.at(world.delay(), () => other.host.reach(() => other.end()));
  }

  private end(): void {
    this.closed = true;
    this.host.disown(this);
    this.inbox.end();
  }
}

/** Listens and dials for one host. */
export class SimNet implements Net {
  constructor(private readonly host: Host) {}

  listen(address: string, accept: (channel: Channel) => void): Promise<Outcome<Listener>> {
    const { host } = this;
    host.world.listen(host, address, accept);
    return Promise.resolve(Right({ address, close: () => host.world.unlisten(address, host) }));
  }

  dial(address: string, limit: number): Promise<Outcome<Channel>> {
    const { host } = this;
    const { world } = host;
    return new Promise((resolve) => {
      const found = world.listenerAt(address);
      const isCut =
        found !== undefined &&
        (world.isCut(host.name, found.host.name) || world.isCut(found.host.name, host.name));
      if (isCut || world.isDark(address)) {
        return host.later(limit, () =>
          resolve(failed('net.dial', address, `no channel within ${limit} ms`)),
        );
      }
      if (!found)
        return host.later(world.delay(), () =>
          resolve(failed('net.dial', address, 'ECONNREFUSED')),
        );
      host.later(limit, () =>
        resolve(failed('net.dial', address, `no channel within ${limit} ms`)),
      );
      world.at(world.delay(), () =>
        found.host.reach(() => {
          const near = new SimChannel(host, address);
          const far = new SimChannel(found.host, `sim-${host.name}`);
          near.other = far;
          far.other = near;
          found.accept(far);
          host.later(world.delay(), () => resolve(Right(near)));
        }),
      );
    });
  }
}
