/**
 * The doorways in force at this node: compiled anew for each revision that changes them, and swapped at once. Matching is deterministic:
 * tag before path before model, the doorway that names more of the earlier kinds first.
 */
import type { Document, Revision } from '../register/document.js';
import { RouteTable } from '../route/table.js';
import type { Doorway, Placed } from './shape.js';

/** What a request is matched by. */
export interface Asked {
  readonly firm: string;
  readonly model: string;
  readonly path: string;
  readonly tag: string;
}

const rank = ({ match }: Doorway): number =>
  (match.tag === undefined ? 0 : 4) +
  (match.path === undefined ? 0 : 2) +
  (match.model === undefined ? 0 : 1);

const fits = ({ match }: Doorway, asked: Asked): boolean =>
  (match.tag === undefined || match.tag === asked.tag) &&
  (match.path === undefined || match.path === asked.path) &&
  (match.model === undefined || match.model === asked.model);

/** The doorways of one document, arranged for matching. */
export class Compiled {
  private readonly byFirm = new Map<string, Placed[]>();
  private readonly byName = new Map<string, Placed>();

  constructor(placed: Iterable<Placed>) {
    for (const each of placed) {
      this.byName.set(each.doorway.name, each);
      const firm = this.byFirm.get(each.doorway.firm) ?? [];
      firm.push(each);
      this.byFirm.set(each.doorway.firm, firm);
    }
    for (const firm of this.byFirm.values()) firm.sort((a, b) => rank(b.doorway) - rank(a.doorway));
  }

  match(asked: Asked): Placed | undefined {
    return this.byFirm.get(asked.firm)?.find(({ doorway }) => fits(doorway, asked));
  }

  named(name: string): Placed | undefined {
    return this.byName.get(name);
  }
}

/** The configuration in force at this node. */
export class InForce {
  private document: Document | undefined;
  private compiled = new Compiled([]);
  private table = new RouteTable(undefined);

  /** Swaps in a newer revision; an older one is left aside. */
  swap(document: Document): boolean {
    if (document.revision <= this.revision) return false;
    if (document.doorways !== this.document?.doorways)
      this.compiled = new Compiled(document.doorways.values());
    if (document.configuration !== this.table.configuration)
      this.table = new RouteTable(document.configuration, this.table);
    this.document = document;
    return true;
  }

  get revision(): Revision {
    return this.document?.revision ?? 0;
  }

  get current(): Compiled {
    return this.compiled;
  }

  get routes(): RouteTable {
    return this.table;
  }

  get whole(): Document | undefined {
    return this.document;
  }
}
