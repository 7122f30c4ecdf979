/**
 * The links of a soak: a relay in front of every port that others use. Links between our own processes are cut one by
 * one; those from callers, from operators and to engines by the process that is reached.
 */
import { peerIdentity } from '../relay/peer-identity.js';
import type { LinkFault } from '../relay/link.js';
import { Relay } from '../relay/relay.js';

/** Ends what was brought about. */
export type Heal = () => void;

const LOOPBACK = '127.0.0.1:0';

/** The relays in front of one kind of port, by the name of the process. */
export class RelayedPorts {
  private readonly relays = new Map<string, Relay>();
  /** Where each process is reached. */
  readonly addresses = new Map<string, string>();
  private readonly targets = new Map<string, string>();

  constructor(private readonly identify?: (first: Buffer) => string | undefined) {}

  /** Puts a relay in front of an address, or in front of the new one of a process that was there before. */
  async add(name: string, target: string): Promise<string> {
    this.targets.set(name, target);
    const known = this.addresses.get(name);
    if (known !== undefined) return known;
    const relay = new Relay(() => this.targets.get(name)!, this.identify);
    this.relays.set(name, relay);
    const address = await relay.listen(LOOPBACK);
    this.addresses.set(name, address);
    return address;
  }

  relay(name: string): Relay {
    return this.relays.get(name)!;
  }

  async close(): Promise<void> {
    await Promise.all([...this.relays.values()].map((relay) => relay.close()));
  }
}

const healAll =
  (heals: readonly Heal[]): Heal =>
  () => {
    for (const heal of heals) heal();
  };

/** All links of a fleet. */
export class SoakNetwork {
  readonly peers = new RelayedPorts(peerIdentity);
  readonly operators = new RelayedPorts();
  readonly requests = new RelayedPorts();
  readonly engines = new RelayedPorts();

  /** From now on each connection between some processes and any other carries at most so many bytes in a ms. */
  narrow(names: readonly string[], rate: number): void {
    for (const name of names) {
      this.peers.relay(name).all.apply({ rate });
      for (const other of this.peers.addresses.keys())
        this.peers.relay(other).from(name).apply({ rate });
    }
  }

  /** Holds what one process sends to another, on connections that either of them opened. */
  cutOneWay(from: string, to: string): Heal {
    return healAll([
      this.peers.relay(to).from(from).apply({ holdForward: true }),
      this.peers.relay(from).from(to).apply({ holdBackward: true }),
    ]);
  }

  cut(one: string, other: string): Heal {
    return healAll([this.cutOneWay(one, other), this.cutOneWay(other, one)]);
  }

  /** Cuts every link between two sides. */
  split(one: readonly string[], other: readonly string[]): Heal {
    return healAll(one.flatMap((each) => other.map((name) => this.cut(each, name))));
  }

  /** The same fault on all links of a process with its peers. */
  faultPeers(name: string, others: readonly string[], fault: LinkFault): Heal {
    return healAll([
      this.peers.relay(name).all.apply(fault),
      ...others.map((other) => this.peers.relay(other).from(name).apply(fault)),
    ]);
  }

  resetPeers(name: string, others: readonly string[]): void {
    this.peers.relay(name).all.reset();
    for (const other of others) this.peers.relay(other).from(name).reset();
  }

  async close(): Promise<void> {
    await Promise.all([
      this.peers.close(),
      this.operators.close(),
      this.requests.close(),
      this.engines.close(),
    ]);
  }
}
