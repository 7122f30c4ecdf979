/**
 * One engine as this node can see it: its own requests there, those of them whose prompts are still being read, and,
 * as a sign of what others do, by how much first tokens came later than expected of late.
 */
import { hashOf } from './order.js';

/** How fast the sign of others' load fades, in milliseconds. */
const FADE = 3000;
/** What of the learned rate an engine is taken to read at beside other routers' requests. */
const DRAIN = 0.5;
const FULL_FIRST = 50;
const FULL_MOST = 1000;

/** A prompt that is being read at an engine. */
export interface Reading {
  readonly sentAt: number;
  /** Milliseconds to the first token, as expected when it was sent. */
  readonly expected: number;
  readonly tokens: number;
  readonly urgency: number;
  /** When its first piece came, or it ended without one. */
  readAt?: number;
}

/** Milliseconds of this node's own reading at an engine. */
export interface Ahead {
  /** Of requests as urgent or more. */
  readonly before: number;
  /** Of less urgent ones. */
  readonly beside: number;
}

/** This node's own requests at one engine. */
export class EngineLoad {
  readonly hash: number;
  flying = 0;
  /** Times in a row that the engine turned a request away. */
  refusals = 0;
  private readonly readings = new Set<Reading>();
  private progressAt = 0;
  private late = 0;
  private lateAt = 0;
  private fullUntil = -Infinity;

  constructor(identifier: string) {
    this.hash = hashOf(identifier);
  }

  begin(reading: Reading): void {
    if (this.readings.size === 0) this.progressAt = reading.sentAt;
    this.flying += 1;
    this.readings.add(reading);
  }

  /** The first piece came, or the request ended without one. */
  read(reading: Reading, now: number): void {
    if (!this.readings.delete(reading)) return;
    reading.readAt = now;
    this.progressAt = now;
  }

  /** What is still to be read, of this node's; the engine is taken to have read on since the last first piece. */
  ahead(urgency: number, perToken: number, now: number): Ahead {
    let before = 0;
    let beside = 0;
    let passed = Math.max(0, now - this.progressAt) * DRAIN;
    for (const { tokens, urgency: other } of this.readings) {
      const whole = tokens * perToken;
      const done = Math.min(passed, whole);
      passed -= done;
      if (other <= urgency) before += whole - done;
      else beside += whole - done;
    }
    return { before, beside };
  }

  /** The newest less urgent one that is being read and brings so many tokens. */
  beside(urgency: number, least: number): Reading | undefined {
    let newest: Reading | undefined;
    for (const reading of this.readings)
      if (reading.urgency > urgency && reading.tokens >= least) newest = reading;
    return newest;
  }

  /** By how much a first token took longer than expected, or less. */
  noteLate(now: number, by: number): void {
    const left = this.lateness(now);
    this.late = left + (by - left) * 0.4;
    this.lateAt = now;
  }

  /** By how many ms first tokens are late here, as last seen and fading, or as the one now waited for longest shows. */
  lateness(now: number): number {
    const faded = this.late * Math.exp((this.lateAt - now) / FADE);
    for (const oldest of this.readings)
      return Math.max(faded, now - oldest.sentAt - oldest.expected);
    return faded;
  }

  turnedAway(now: number): void {
    this.refusals += 1;
    this.fullUntil = now + Math.min(FULL_MOST, FULL_FIRST * 2 ** Math.min(10, this.refusals));
  }

  took(): void {
    this.refusals = 0;
    this.fullUntil = -Infinity;
  }

  /** Milliseconds for which the engine is taken for full, since it said so. */
  fullFor(now: number): number {
    return Math.max(0, this.fullUntil - now);
  }
}
