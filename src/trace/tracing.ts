/**
 * What a node remembers of the changes that went through it: a bounded journal of the control events it logs, each with
 * the moment on the node's own clock. Asked for a revision, it gives the steps that revision took here; promises
 * carry no revision, and are found by the ballot they share with the round that proposed or accepted it.
 */
import { Right } from 'purify-ts';
import type { Clock } from '../kernel/clock/clock.js';
import { Journal } from '../kernel/journal/journal.js';
import type { Fields, Log } from '../kernel/log/log.js';
import { call } from '../wire/call.js';
import { list, number, struct, text } from '../wire/field.js';
import type { Peers } from '../wire/peers.js';

/** One step of a change at a node, by how many ms after the first one. */
export interface TraceStep {
  step: string;
  after: number;
  ballot: string;
}

/** The steps that a node remembers. */
export interface TraceReply {
  node: string;
  steps: TraceStep[];
}

/** Asks a node for the steps it remembers of one change. */
export const Trace = call<{ revision: number }, TraceReply>(
  64,
  'trace.steps',
  struct({ revision: number }),
  struct({
    node: text,
    steps: list(struct<TraceStep>({ step: text, after: number, ballot: text })),
  }),
);

const STEPS = new Set([
  'proposed',
  'promised',
  'accepted',
  'committed',
  'fed',
  'in-force',
  'reported',
  'revision-mended',
]);
const BOUND = 4096;

interface Noted {
  readonly step: string;
  readonly revision: number | undefined;
  readonly ballot: string;
}

/** The control events that a node remembers, and the calls that ask for them. */
export class Tracing {
  private readonly journal: Journal<Noted>;

  constructor(
    private readonly node: string,
    clock: Clock,
  ) {
    this.journal = new Journal<Noted>(clock, BOUND);
  }

  /** A log that also notes the control events. */
  tap(log: Log): Log {
    return (event, fields = []) => {
      if (STEPS.has(event)) this.note(event, fields);
      log(event, fields);
    };
  }

  serve(peers: Peers): void {
    peers.handle(Trace, ({ revision }) => Right({ node: this.node, steps: this.steps(revision) }));
  }

  steps(revision: number): TraceStep[] {
    const tail = this.journal.tail();
    const own = tail.filter(({ event }) => event.revision === revision);
    const ballots = new Set(own.map(({ event }) => event.ballot).filter(Boolean));
    const all = tail.filter(
      ({ event }) =>
        event.revision === revision || (event.step === 'promised' && ballots.has(event.ballot)),
    );
    const first = all[0]?.moment ?? 0;
    return all.slice(0, 256).map(({ moment, event }) => ({
      step: event.step,
      after: Math.round((moment - first) * 100) / 100,
      ballot: event.ballot,
    }));
  }

  private note(step: string, fields: Fields): void {
    const held = new Map(fields);
    const revision = held.get('revision');
    this.journal.append({
      step,
      revision: typeof revision === 'number' ? revision : undefined,
      ballot: String(held.get('ballot') ?? ''),
    });
  }
}
