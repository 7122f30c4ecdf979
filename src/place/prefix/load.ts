/**
 * One engine as this node can see it: its own requests there, those of them whose prompts are still being read, and,
 * as a sign of what others do, by how much first tokens came later than expected of late.
 */
import { hashOf } from './order.js';

/** How fast the sign of others' load fades, in milliseconds. */
const FADE = 1000;
const FULL_FIRST = 50;
const FULL_MOST = 1000;

export interface Reading {
  readonly sentAt: number;
  readonly expected: number;
  readonly tokens: number;
  readonly urgency: number;
}

export class EngineLoad {
  readonly hash: number;
  flying = 0;
  /** Times in a row that the engine turned a request away. */
  refusals = 0;
  private readonly readings = new Set<Reading>();
  private readonly tokens = new Array<number>(10).fill(0);
  private late = 0;
  private lateAt = 0;
  private fullUntil = -Infinity;

  constructor(identifier: string) {
    this.hash = hashOf(identifier);
  }

  begin(reading: Reading): void {
    this.flying += 1;
    this.readings.add(reading);
    this.tokens[reading.urgency]! += reading.tokens;
  }

  /** The first piece came, or the request ended without one. */
  read(reading: Reading): void {
    if (this.readings.delete(reading)) this.tokens[reading.urgency]! -= reading.tokens;
  }

  /** Tokens of this node's that are read before or beside a request of some urgency. */
  ahead(urgency: number): number {
    let sum = 0;
    for (let each = 0; each < 10; each++) sum += each <= urgency ? this.tokens[each]! : this.tokens[each]! / 2;
    return sum;
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
    for (const oldest of this.readings) return Math.max(faded, now - oldest.sentAt - oldest.expected);
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
