/** Chance as a service, so that a seeded run repeats exactly: jitter, tie-breaks, fresh identities. */
import { Injectable } from '@nestjs/common';
import { randomBytes } from 'node:crypto';

/** A source of random numbers and identities. */
export interface Random {
  fraction(): number;
  identity(): string;
}

/** Random numbers of the operating system. */
@Injectable()
export class SystemRandom implements Random {
  fraction(): number {
    return Math.random();
  }

  identity(): string {
    return randomBytes(8).toString('hex');
  }
}

/** A small seeded generator (xorshift over 32 bits), for the checker and the stand-ins. */
export class SeededRandom implements Random {
  private state: number;

  constructor(seed: number) {
    this.state = (seed ^ 0x9e3779b9) >>> 0 || 1;
    for (let i = 0; i < 8; i++) this.fraction();
  }

  fraction(): number {
    this.state ^= this.state << 13;
    this.state >>>= 0;
    this.state ^= this.state >>> 17;
    this.state ^= this.state << 5;
    this.state >>>= 0;
    return this.state / 0x100000000;
  }

  identity(): string {
    const word = (): string =>
      Math.floor(this.fraction() * 0x100000000)
        .toString(16)
        .padStart(8, '0');
    return word() + word();
  }
}

/** One of the items at random, or undefined where there is none. */
export const pick = <T>(random: Random, items: readonly T[]): T | undefined =>
  items[Math.floor(random.fraction() * items.length)];

/** The items in random order; the argument stays as it is. */
export const shuffled = <T>(random: Random, items: readonly T[]): T[] => {
  const copy = [...items];
  for (let i = copy.length - 1; i > 0; i--) {
    const j = Math.floor(random.fraction() * (i + 1));
    [copy[i], copy[j]] = [copy[j]!, copy[i]!];
  }
  return copy;
};
