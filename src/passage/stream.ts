/**
 * Relays an engine's answer to the caller by whole events, from one engine only. It is complete only with its end marker
 * from the engine and request it belongs to; anything else ends the attempt visibly. Where a broken stream goes on, the
 * engine must first repeat all that was handed on, word for word.
 */
import { rootHash } from '../index/hash.js';
import { within, type Clock } from '../kernel/clock/clock.js';
import { fault, type Fault } from '../kernel/fault/fault.js';
import type { Chooser, Slot } from '../place/choose.js';
import type { EngineChannel, EngineReply } from '../pool/channel.js';
import type { Soundness } from '../pool/soundness.js';
import { Decoding, readChunk, renamed, type Chunk, type Notes } from './pieces.js';
import { SseReader, type SseEvent } from './sse.js';
import { blocksIn, namespaceOf, over, type Leg, type PassageParams, type Trip } from './trip.js';

/** How long the body of an answer that is no result is waited for, in ms. */
const REFUSAL_LIMIT = 1000;

/** What a relay needs of the router. */
export interface RelayServices {
  readonly chooser: Chooser;
  readonly soundness: Soundness;
  readonly params: PassageParams;
  readonly clock: Clock;
  readonly onProgress: () => void;
}

/** Relays one answer of one engine. */
export class StreamRelay {
  private readonly peer: string;
  private readonly reader = new SseReader();
  private readonly decoding: Decoding;
  private finished = false;
  private chunkId: string | undefined;
  /** What the engine must repeat before anything new. */
  private owed: string;

  constructor(
    private readonly trip: Trip,
    private readonly slot: Slot,
    private readonly channel: EngineChannel,
    private readonly stop: AbortController,
    private readonly note: Notes,
    private readonly services: RelayServices,
  ) {
    const { engine } = slot;
    const { blockBytes } = services.params;
    const namespace = namespaceOf(trip, engine.weightGeneration);
    this.peer = engine.identifier;
    this.decoding = new Decoding(
      trip.prompt,
      blocksIn(trip, namespace, blockBytes),
      blockBytes,
      rootHash(namespace),
      note,
    );
    this.owed = trip.resumed ? trip.handed.text : '';
  }

  /** Sends the request and relays the answer to its end. */
  async run(passageId: string, body: string, headers: ReadonlyMap<string, string>): Promise<Leg> {
    const { trip, peer, channel } = this;
    const replied = await this.wait(
      channel.send('/v1/chat/completions', headers, body, this.stop.signal),
      trip.firstToken - this.services.clock.now(),
    );
    if (!replied) return this.failed('engine.head', 'no reply within the limit');
    if (replied.isLeft()) {
      const reason = replied.extract();
      if (reason.certainty === 'unknown') return this.giveUp(reason);
      channel.close();
      return { kind: 'again', fault: reason, sent: false };
    }
    const reply = replied.unsafeCoerce();
    const isForeign =
      reply.headers['x-request-id'] !== passageId || reply.headers['x-engine-id'] !== peer;
    if (isForeign)
      return this.failed('engine.head', 'the reply belongs to another request or engine');
    this.report(reply);
    if (reply.statusCode !== 200) return this.giveUp(await this.notServed(reply));
    return this.relay(reply.body[Symbol.asyncIterator]());
  }

  private async relay(chunks: AsyncIterator<Uint8Array>): Promise<Leg> {
    for (;;) {
      const next = await this.wait(
        chunks.next().catch((thrown: unknown) => ({ thrown })),
        this.limit(),
      );
      if (!next) return this.failed('engine.stream', 'silent past the limit');
      if ('thrown' in next) return this.failed('engine.stream', String(next.thrown));
      if (next.done) return this.failed('engine.stream', 'ended without its end marker');
      const events = this.reader.push(next.value, this.peer);
      if (events.isLeft()) return this.giveUp(events.extract());
      for (const event of events.unsafeCoerce()) {
        const leg = event.data === '[DONE]' ? await this.end(event) : await this.pass(event);
        if (leg) return leg;
      }
    }
  }

  /** How long the next bytes may take. */
  private limit(): number {
    const { trip, services } = this;
    const now = services.clock.now();
    const silence = trip.chart.state === 'sent' ? trip.firstToken - now : services.params.silence;
    return Math.min(silence, trip.total - now);
  }

  /** The end marker: the result is whole when nothing is owed and nothing is left over. */
  private async end(event: SseEvent): Promise<Leg> {
    const { trip, peer } = this;
    if (!this.finished || this.owed || !this.reader.empty)
      return this.failed('engine.stream', 'an end marker out of place');
    if (trip.chart.state === 'sent') trip.chart.step('streaming', peer);
    if (!(await trip.sink.write(event, peer))) return this.callerGone();
    trip.sink.complete();
    trip.chart.step('complete', peer);
    this.services.soundness.good(peer);
    return over({ outcome: 'result' });
  }

  /** Passes one event on; what ends the attempt, if anything. */
  private async pass(event: SseEvent): Promise<Leg | undefined> {
    const { trip } = this;
    const chunk = this.readOwn(event);
    if (!chunk) return this.failed('engine.stream', 'a piece that is not of this result');
    if (this.departs(chunk))
      return this.failed('engine.resume', 'does not go on exactly where the stream broke');
    const content = chunk.content.slice(this.owed.length);
    const isRepeat = trip.resumed && !content && !chunk.finished && this.owed !== '';
    this.owed = this.owed.slice(chunk.content.length);
    if (chunk.cached !== undefined) this.note.cached(chunk.cached);
    if (isRepeat) return undefined;
    if (trip.chart.state === 'sent') this.begin();
    this.decoding.push(content);
    this.finished ||= chunk.finished;
    const shown = trip.resumed ? renamed(event, trip.handed.id, content) : event;
    this.hand(chunk, content);
    return (await trip.sink.write(shown, this.peer)) ? undefined : this.callerGone();
  }

  /** Reads a piece of this result; undefined where it is of another. */
  private readOwn(event: SseEvent): Chunk | undefined {
    const chunk = readChunk(event.data);
    if (!chunk || (this.chunkId !== undefined && chunk.id !== this.chunkId)) return undefined;
    this.chunkId = chunk.id;
    return chunk;
  }

  /** Whether a piece is not what the engine has to repeat, or ends before all of that was repeated. */
  private departs({ content, finished }: Chunk): boolean {
    const isCutShort = this.owed.length > content.length && finished;
    return isCutShort || !this.owed.startsWith(content.slice(0, this.owed.length));
  }

  private begin(): void {
    this.trip.chart.step('streaming', this.peer);
    this.services.chooser.begin(this.slot);
    this.note.prompt();
    this.services.onProgress();
  }

  /** Notes what the caller has once this piece is handed on. */
  private hand(chunk: Chunk, content: string): void {
    const { handed, resumed } = this.trip;
    if (!resumed) handed.id = chunk.id;
    handed.weightGeneration = this.slot.engine.weightGeneration;
    handed.text += content;
    handed.pieces += content ? 1 : 0;
    handed.plain &&= chunk.plain && !this.finished;
  }

  private callerGone(): Leg {
    return this.giveUp(fault('caller.write', 'caller', 'the caller is gone', 'unknown'));
  }

  private failed(step: string, reason: string): Leg {
    return this.giveUp(fault(step, this.peer, reason, 'unknown'));
  }

  private giveUp(reason: Fault): Leg {
    const { trip } = this;
    this.stop.abort();
    this.channel.close();
    if (reason.certainty === 'declined') return { kind: 'again', fault: reason, sent: true };
    this.services.soundness.bad(this.peer);
    if (trip.repeatable && trip.chart.state === 'sent' && !trip.sink.gone.aborted)
      return { kind: 'again', fault: reason, sent: true };
    if (trip.chart.state !== 'streaming')
      return over({ outcome: 'unknown', status: 502, fault: reason, retryAfter: undefined });
    return { kind: 'broken', fault: reason };
  }

  private wait<T>(promise: Promise<T>, limit: number): Promise<T | undefined> {
    return within(this.services.clock, Math.max(1, limit), promise);
  }

  private report(reply: EngineReply): void {
    const ahead = Number(reply.headers['x-tokens-ahead']);
    if (Number.isFinite(ahead) && ahead >= 0) this.services.chooser.report(this.slot.engine, ahead);
  }

  /** Only an explicit word that it was not run makes a sent request declined. */
  private async notServed(reply: EngineReply): Promise<Fault> {
    const text = await within(
      this.services.clock,
      REFUSAL_LIMIT,
      reply.body.text().catch(() => ''),
    );
    let code: unknown;
    try {
      code = (JSON.parse(text ?? '') as { error?: { code?: unknown } }).error?.code;
    } catch {
      code = undefined;
    }
    const notRun = (reply.statusCode === 429 || reply.statusCode === 503) && code === 'not_run';
    return fault(
      'engine.head',
      this.peer,
      `status ${reply.statusCode}`,
      notRun ? 'declined' : 'unknown',
    );
  }
}
