/** The engines of a soak: places with an address of their own, at each of which one engine follows another. */
import type { OpaqueScene } from '../opaque.js';

/** The engines of each service at the start. */
const ENGINES_EACH = 3;

interface Slot {
  identifier: string;
  service: string;
  lives: number;
}

/** The slot that an engine stands in, by its identifier. */
export const slotOf = (identifier: string): string => identifier.split('+')[0]!;

/** The places of engines. */
export class EngineSlots {
  private readonly slots = new Map<string, Slot>();

  constructor(
    private readonly scene: OpaqueScene,
    private readonly services: readonly string[],
  ) {}

  get names(): string[] {
    return [...this.slots.keys()];
  }

  async startAll(): Promise<void> {
    for (const service of this.services)
      for (let at = 1; at <= ENGINES_EACH; at++) await this.start(`${service}-${at}`, service);
  }

  identifier(slot: string): string {
    return this.slots.get(slot)!.identifier;
  }

  service(slot: string): string {
    return this.slots.get(slot)!.service;
  }

  /** Whether an engine stands in the slot now. */
  isUp(slot: string): boolean {
    return this.scene.engines.has(this.identifier(slot));
  }

  /** The engine is gone at once, and the list still shows it. */
  async crash(slot: string): Promise<void> {
    await this.scene.crash(this.identifier(slot));
  }

  /** Takes the engine that was there off the list and starts another at its address. */
  async replace(slot: string, service = this.service(slot)): Promise<void> {
    await this.scene.unlist(this.identifier(slot));
    await this.start(slot, service);
  }

  private async start(slot: string, service: string): Promise<void> {
    const lives = (this.slots.get(slot)?.lives ?? 0) + 1;
    const identifier = `${slot}+${lives}`;
    this.slots.set(slot, { identifier, service, lives });
    await this.scene.startEngine(identifier, service);
  }
}
