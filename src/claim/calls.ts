/** The calls of claims on ids: between routers, where uniqueness is decided, and to the core, where claims are kept. */
import { createHash } from 'node:crypto';
import { call } from '../wire/call.js';
import { flag, list, number, struct, text } from '../wire/field.js';

/** Asks a holder to grant a claim on an id. */
export interface TakeAsk {
  key: string;
  owner: string;
  registeredAt: number;
}

/** Whether the claim was granted, and otherwise who has it. */
export interface TakeReply {
  granted: boolean;
  owner: string;
  reason: string;
}

/** Takes a claim at one of the routers that hold the id's claims. */
export const Take = call<TakeAsk, TakeReply>(
  80,
  'claim.take',
  struct({ key: text, owner: text, registeredAt: number }),
  struct({ granted: flag, owner: text, reason: text }),
);

/** Gives a claim back for a request that certainly did not run. */
export const Release = call<{ key: string; owner: string }, { known: boolean }>(
  81,
  'claim.release',
  struct({ key: text, owner: text }),
  struct({ known: flag }),
);

/** Copies a claim that the core could not keep to routers that are not its holders. */
export const Copy = call<{ key: string; owner: string }, { owner: string }>(
  85,
  'claim.copy',
  struct({ key: text, owner: text }),
  struct({ owner: text }),
);

/** A claim as it is told on; `kept` says whether a majority of the core has it, as far as the teller knows. */
export interface HeldClaim {
  key: string;
  owner: string;
  age: number;
  kept: boolean;
}
const heldField = list(struct<HeldClaim>({ key: text, owner: text, age: number, kept: flag }));

/** What one router holds of another's duties, from a place in its own order on. */
export interface GatherAsk {
  node: string;
  registeredAt: number;
  after: number;
}

/** One page of the claims that a router holds. */
export interface GatherReply {
  open: boolean;
  registeredAt: number;
  more: boolean;
  next: number;
  claims: HeldClaim[];
}

/** Reads the claims that another router holds of one's own duties. */
export const Gather = call<GatherAsk, GatherReply>(
  82,
  'claim.gather',
  struct({ node: text, registeredAt: number, after: number }),
  struct({ open: flag, registeredAt: number, more: flag, next: number, claims: heldField }),
);

/** Keeps a claim on a core member's disk, under the core set that both know. */
export interface KeepAsk {
  set: number;
  key: string;
  owner: string;
}

/** Whether the claim is on disk, and whose it is. */
export interface KeepReply {
  kept: boolean;
  owner: string;
}

/** Keeps a claim on a core member's disk. */
export const Keep = call<KeepAsk, KeepReply>(
  83,
  'claim.keep',
  struct({ set: number, key: text, owner: text }),
  struct({ kept: flag, owner: text }),
);

/** What a core member keeps of a router's duties, or all of it when no router is named. */
export interface RecallAsk {
  set: number;
  node: string;
  after: number;
}

/** One page of the claims that a core member keeps. */
export interface RecallReply {
  whole: boolean;
  more: boolean;
  next: number;
  claims: HeldClaim[];
}

/** Reads claims back from a core member's disk. */
export const Recall = call<RecallAsk, RecallReply>(
  84,
  'claim.recall',
  struct({ set: number, node: text, after: number }),
  struct({ whole: flag, more: flag, next: number, claims: heldField }),
);

/** How many routers hold the claims on an id. */
export const HOLDERS = 3;

/** For how long an id is remembered. */
export const KEPT = 600_000;

/** The key that an id of a firm is claimed under. */
export const keyOf = (firm: string, id: string): string =>
  createHash('sha256').update(`${firm}\u0000${id}`).digest('base64url').slice(0, 22);
