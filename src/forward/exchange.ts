/**
 * One request and its answer on a link: collects what undici calls back into promises. The answer is pulled piece by
 * piece, and the socket is paused while more is held than the bound.
 */
import type { Dispatcher } from 'undici';
import { Left, Right } from 'purify-ts';
import { within, type Clock, type Duration, type Moment } from '../kernel/clock/clock.js';
import { failed, fault, reasonOf, type Outcome } from '../kernel/fault/fault.js';
import { arrivedIsRead } from '../kernel/net/arrived.js';
import type { Engine } from '../pool/engine.js';
import type { Answer } from './answer.js';
import { fieldsOf, only, type Fields } from './fields.js';

const HELD_BOUND = 256 * 1024;

const statusesWithoutBody: ReadonlySet<number> = new Set([204, 304]);

/** The link that an exchange takes place on, as far as the exchange has a say in it. */
export interface ExchangeLink {
  /** The request is over, whole or not. */
  release(): void;
  /** Closes the link for good. */
  close(): void;
  /** The answer came whole: the link may be used again, as its fields allow. */
  keep(fields: Fields): void;
  /** The engine said something. */
  heard(): void;
  /** When the engine last said anything on any link. */
  lastHeard(): Moment;
}

export class Exchange implements Answer {
  status = 0;
  fields: Fields = [];
  private readonly held: Uint8Array[] = [];
  private heldBytes = 0;
  private over: Outcome<undefined> | undefined;
  private sent = false;
  private controller: Dispatcher.DispatchController | undefined;
  private wake: () => void = () => undefined;
  private headed = false;
  private kept = false;
  /** Whether the parser may still take bytes for this answer's, though it is whole. */
  private unread = false;

  constructor(
    private readonly engine: Engine,
    private readonly clock: Clock,
    private readonly method: string,
    private readonly link: ExchangeLink,
  ) {}

  get framed(): boolean {
    return (
      this.bodiless ||
      only(this.fields, 'content-length') !== undefined ||
      only(this.fields, 'transfer-encoding')?.trim().toLowerCase() === 'chunked'
    );
  }

  get whole(): boolean {
    return this.over?.isRight() ?? false;
  }

  /** Whether there is no body, whatever the head tells of one. */
  private get bodiless(): boolean {
    return this.method === 'HEAD' || statusesWithoutBody.has(this.status);
  }

  readonly handler: Dispatcher.DispatchHandler = {
    onRequestStart: (controller) => {
      this.sent = true;
      this.controller = controller;
    },
    onResponseStart: (controller, status) => {
      if (status < 200) return;
      this.controller = controller;
      this.status = status;
      this.fields = fieldsOf((controller.rawHeaders ?? []) as Buffer[]);
      this.headed = true;
      if (this.method !== 'HEAD' && this.bodiless && this.tellsOfBody) this.endAtHead();
      this.link.heard();
      this.wake();
    },
    onResponseData: (controller, chunk) => {
      if (this.unread) return;
      this.held.push(chunk);
      this.heldBytes += chunk.length;
      this.link.heard();
      if (this.heldBytes > HELD_BOUND) controller.pause();
      this.wake();
    },
    onResponseEnd: () => {
      if (this.over) return;
      this.over = Right(undefined);
      this.link.release();
      this.wake();
    },
    onResponseError: (_, error) => {
      if (this.over?.isRight()) return;
      this.over = Left(
        fault(
          'link.exchange',
          this.engine.address,
          reasonOf(error),
          this.sent ? 'unknown' : 'declined',
        ),
      );
      this.link.close();
      this.wake();
    },
  };

  /** Waits for the head of the answer; "declined" means that nothing was sent. */
  async head(limit: Duration): Promise<Outcome<Answer>> {
    const waited = await this.until(() => this.headed || this.over !== undefined, limit);
    if (this.headed) return Right(this);
    this.link.close();
    if (waited) return this.over as unknown as Outcome<Answer>;
    return failed(
      'link.head',
      this.engine.address,
      `no answer within ${Math.round(limit)} ms`,
      this.sent ? 'unknown' : 'declined',
    );
  }

  ready(limit: Duration): Promise<boolean> {
    return this.until(() => this.held.length > 0 || this.over !== undefined, limit);
  }

  get heardAt(): Moment {
    return this.link.lastHeard();
  }

  async next(limit: Duration): Promise<Outcome<Uint8Array | undefined>> {
    const waited = await this.ready(limit);
    const chunk = this.held.shift();
    if (chunk) return Right(this.taken(chunk));
    if (waited) {
      this.settle();
      return this.over!;
    }
    this.link.close();
    return failed(
      'link.next',
      this.engine.address,
      `silent for ${Math.round(limit)} ms`,
      'unknown',
      'silent',
    );
  }

  settle(): void {
    if (this.kept) return;
    this.kept = (this.over?.isRight() ?? false) && !this.unread;
    if (this.kept) this.link.keep(this.fields);
    else this.link.close();
  }

  drop(): void {
    if (!this.kept) this.link.close();
  }

  private get tellsOfBody(): boolean {
    const length = only(this.fields, 'content-length');
    const coded = this.fields.some(([name]) => name.toLowerCase() === 'transfer-encoding');
    return coded || (length !== undefined && length.trim() !== '0');
  }

  /** The parser would wait for the body that the head tells of: the answer is whole without it, the link is not kept. */
  private endAtHead(): void {
    this.unread = true;
    this.over = Right(undefined);
    this.link.release();
  }

  /** Accounts for a piece that is handed on, and reads on where too much was held. */
  private taken(chunk: Uint8Array): Uint8Array {
    const paused = this.heldBytes > HELD_BOUND;
    this.heldBytes -= chunk.length;
    if (paused && this.heldBytes <= HELD_BOUND && !this.over) this.controller?.resume();
    return chunk;
  }

  private async until(condition: () => boolean, limit: Duration): Promise<boolean> {
    const end = this.clock.now() + limit;
    const left = (): Duration => end - this.clock.now();
    while (!condition()) {
      if (left() <= 0) {
        await arrivedIsRead();
        return condition();
      }
      await within(this.clock, left(), new Promise<void>((resolve) => (this.wake = resolve)));
    }
    return true;
  }
}
