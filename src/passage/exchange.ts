/**
 * Sending a chat request to an engine: its body and headers, and what the index learns from it, from the moment it is
 * sent to the end of the answer.
 */
import type { Block, Namespace } from '../index/hash.js';
import type { Prefixes } from '../index/prefixes.js';
import type { Clock, Moment } from '../kernel/clock/clock.js';
import type { Chooser, Slot } from '../place/choose.js';
import type { EngineChannel } from '../pool/channel.js';
import type { Engine } from '../pool/engine.js';
import type { Soundness } from '../pool/soundness.js';
import type { Notes } from './pieces.js';
import { StreamRelay } from './stream.js';
import { blocksIn, namespaceOf, type Leg, type PassageParams, type Trip } from './trip.js';

/** The body that an engine is sent; the rest of a broken stream is asked for as a continued message. */
const bodyOf = (trip: Trip): string => {
  const asked = Object.fromEntries(trip.request.body);
  const continued = trip.resumed
    ? {
        messages: [
          ...(asked['messages'] as unknown[]),
          { role: 'assistant', content: trip.handed.text },
        ],
        add_generation_prompt: false,
        continue_final_message: true,
        echo: true,
      }
    : {};
  return JSON.stringify({
    ...asked,
    ...continued,
    stream: true,
    stream_options: { include_usage: true },
    max_tokens: trip.reply,
  });
};

/** The id that an engine is told for one send of a request: unlike that of any other send, with the caller's whole id. */
export const idOfSend = (node: string, send: number, request: string): string =>
  `${node}-${send}-${request}`;

/** Sends requests to engines and notes in the index what they make there. */
export class EngineExchange {
  private sends = 0;

  constructor(
    private readonly node: string,
    private readonly prefixes: Prefixes,
    private readonly chooser: Chooser,
    private readonly soundness: Soundness,
    private readonly params: PassageParams,
    private readonly clock: Clock,
    private readonly onProgress: () => void,
  ) {}

  /** Sends a request on a verified channel and relays the answer; the blocks made go into `made`. */
  async send(
    trip: Trip,
    slot: Slot,
    channel: EngineChannel,
    signal: AbortSignal,
    made: string[],
  ): Promise<Leg> {
    const { engine } = slot;
    const { blockTokens } = this.params;
    const passageId = idOfSend(this.node, ++this.sends, trip.request.id);
    const body = bodyOf(trip);
    const headers = this.headersOf(trip, slot, passageId);
    const reserve = trip.tokens + trip.reply + blockTokens;
    const sentAt = this.clock.strict();
    this.prefixes.fly(engine, reserve);
    trip.chart.step('sent', engine.identifier);
    const stop = new AbortController();
    const cancel = (): void => {
      stop.abort();
    };
    signal.addEventListener('abort', cancel, { once: true });
    const before = made.length;
    const relay = new StreamRelay(trip, slot, channel, stop, this.notes(trip, slot, sentAt, made), {
      chooser: this.chooser,
      soundness: this.soundness,
      params: this.params,
      clock: this.clock,
      onProgress: this.onProgress,
    });
    const leg = await relay.run(passageId, body, headers);
    signal.removeEventListener('abort', cancel);
    const stored = made.length - before;
    this.prefixes.land(engine, reserve, Math.max(blockTokens, reserve - stored * blockTokens));
    return leg;
  }

  private claimedBlocks(trip: Trip, slot: Slot): number {
    return Math.floor((trip.tokens - slot.fresh) / this.params.blockTokens);
  }

  private headersOf(trip: Trip, slot: Slot, passageId: string): ReadonlyMap<string, string> {
    return new Map([
      ['content-type', 'application/json'],
      ['x-request-id', passageId],
      ['x-caller-request-id', trip.request.id],
      ['x-firm', trip.request.firm],
      ['x-claimed-blocks', String(this.claimedBlocks(trip, slot))],
    ]);
  }

  /** What the index learns from a result as it comes. */
  private notes(trip: Trip, slot: Slot, sentAt: Moment, made: string[]): Notes {
    const { engine } = slot;
    const namespace = namespaceOf(trip, engine.weightGeneration);
    const prompt = (): readonly Block[] => blocksIn(trip, namespace, this.params.blockBytes);
    const note = (blocks: readonly Block[], parent: string | undefined, depth: number): void => {
      this.store(engine, namespace, blocks, sentAt, parent, depth);
      made.push(...blocks.map(({ external }) => external));
    };
    return {
      prompt: () => note(prompt(), undefined, 0),
      decoded: note,
      cached: (tokens) => {
        const count = Math.floor(tokens / this.params.blockTokens);
        if (count >= this.claimedBlocks(trip, slot)) return;
        this.prefixes.shorten(engine, namespace, prompt(), count);
        this.store(engine, namespace, prompt(), sentAt, undefined, 0);
      },
    };
  }

  private store(
    engine: Engine,
    namespace: Namespace,
    blocks: readonly Block[],
    touched: Moment,
    parent: string | undefined,
    depth: number,
  ): void {
    const event = this.prefixes.nextEvent(engine);
    this.prefixes.store(engine, event, { namespace, parent, depth, blocks, touched });
  }
}
