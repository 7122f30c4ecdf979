/** What is learned for each service: the pace of its engines, how far long prompts block, and who prefers what. */
import type { Service } from '../../route/shape.js';
import { Belief } from './belief.js';
import { Blocking } from './blocking.js';
import { hashOf } from './order.js';
import { Pace } from './pace.js';
import { Split } from './split.js';

const SERVICES_BOUND = 4096;

/** What is learned about one service. */
export class ServiceRecord {
  readonly pace = new Pace();
  readonly blocking = new Blocking();
  readonly belief = new Belief();
  readonly split: Split;
  /** Prompts of this node's now being read that are long enough to block. */
  reading = 0;

  constructor(name: string) {
    this.split = new Split(hashOf(name));
  }
}

/** What is learned about all services. */
export class ServiceRecords {
  private readonly records = new Map<string, ServiceRecord>();

  of({ name }: Service): ServiceRecord {
    const known = this.records.get(name);
    if (known) return known;
    if (this.records.size >= SERVICES_BOUND)
      this.records.delete(this.records.keys().next().value as string);
    const made = new ServiceRecord(name);
    this.records.set(name, made);
    return made;
  }
}
