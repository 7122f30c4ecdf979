/**
 * The steps that schedules are made of, as plain data, and how they are drawn: calls of operators, repeats of them,
 * faults of every kind that a core member or its links may meet, and the pause before the next step. Numbers of
 * members, nodes and orders are taken modulo how many there are, so that a schedule keeps its meaning as it shrinks.
 */
import fc from 'fast-check';

/** Which request an operator sends: a whole configuration or a patch, sound or with a defect. */
export interface ChangeStep {
  readonly kind: 'change';
  readonly form: 'replace' | 'patch';
  readonly defect: 'none' | 'unknown-service' | 'version-not-above';
  /** The version it builds on: the newest known to the operators, one before it, or one that does not exist yet. */
  readonly base: 'newest' | 'older' | 'future';
  /** By how much the version rises. */
  readonly rise: number;
  /** Tells contents apart; two requests alike in all are one request. */
  readonly variant: number;
  readonly calls: readonly CallPlan[];
}

/** One call that carries a request: to which node, and whether its answer gets lost on the way back. */
export interface CallPlan {
  readonly node: number;
  readonly answerLost: boolean;
}

/** Sends an earlier order again, as it was; 0 is the latest. */
export interface RepeatStep {
  readonly kind: 'repeat';
  readonly order: number;
  readonly calls: readonly CallPlan[];
}

export interface ReadStep {
  readonly kind: 'read';
  readonly node: number;
}

export interface KillStep {
  readonly kind: 'kill';
  readonly member: number;
  readonly downtime: number;
}

/** The member loses power at a write that is yet to come, just before it is kept or just after. */
export interface PowerLossStep {
  readonly kind: 'power-loss';
  readonly member: number;
  readonly write: number;
  readonly moment: 'before' | 'after';
  readonly downtime: number;
}

export type WatchedCall = 'prepare' | 'accept' | 'committed';

/** The member's disk is lost with all that is on it; another process starts at its address on an empty one. */
export interface LoseDiskStep {
  readonly kind: 'lose-disk';
  readonly member: number;
  readonly downtime: number;
}

/** The process ends at a message that is yet to come: its receiver before it reads it, its sender right after sending. */
export interface CrashAtMessageStep {
  readonly kind: 'crash-at-message';
  readonly call: WatchedCall;
  readonly stage: 'ask' | 'reply';
  readonly side: 'sender' | 'receiver';
  readonly count: number;
  readonly downtime: number;
}

export type Direction = 'both' | 'inbound' | 'outbound';

/** Cuts a member off from all others. */
export interface IsolateStep {
  readonly kind: 'isolate';
  readonly member: number;
  readonly direction: Direction;
  readonly duration: number;
}

/** Cuts the link between two members. */
export interface CutLinkStep {
  readonly kind: 'cut-link';
  readonly member: number;
  readonly other: number;
  readonly direction: Direction;
  readonly duration: number;
}

export interface DiskStep {
  readonly kind: 'disk';
  readonly member: number;
  readonly trouble: 'stalled' | 'slow' | 'full';
  readonly duration: number;
}

export interface FreezeStep {
  readonly kind: 'freeze';
  readonly member: number;
  readonly duration: number;
}

/** For a while, every so manieth message of a kind is lost, late or comes twice. */
export interface MessagesStep {
  readonly kind: 'messages';
  readonly call: WatchedCall;
  readonly fate: 'drop' | 'late' | 'twice';
  readonly every: number;
  readonly duration: number;
}

export interface HealStep {
  readonly kind: 'heal';
}

export type Action =
  | ChangeStep
  | RepeatStep
  | ReadStep
  | KillStep
  | PowerLossStep
  | LoseDiskStep
  | CrashAtMessageStep
  | IsolateStep
  | CutLinkStep
  | DiskStep
  | FreezeStep
  | MessagesStep
  | HealStep;

export interface Step {
  readonly action: Action;
  /** Milliseconds until the next step. */
  readonly pause: number;
}

export interface Schedule {
  readonly members: 3 | 5;
  /** Draws what the steps leave open: delays, identities, what a power loss keeps. */
  readonly worldSeed: number;
  /** How many changes are acknowledged one after the other before the steps; none where it is absent. */
  readonly changesBefore?: number;
  readonly steps: readonly Step[];
}

/** The most calls that operators have under way at once. */
export const CALLS_AT_ONCE = 8;

const small = fc.nat({ max: 9 });

const downtime = fc.integer({ min: 20, max: 3000 });
const duration = fc.integer({ min: 50, max: 6000 });
const direction = fc.constantFrom<Direction>('both', 'inbound', 'outbound');
const watchedCall = fc.constantFrom<WatchedCall>('accept', 'prepare', 'committed');
const callPlan = fc.record({ node: small, answerLost: fc.boolean() });
const calls = (most: number): fc.Arbitrary<CallPlan[]> =>
  fc.array(callPlan, { minLength: 1, maxLength: most });

const change: fc.Arbitrary<ChangeStep> = fc.record({
  kind: fc.constant('change'),
  form: fc.constantFrom('replace', 'patch'),
  defect: fc.oneof(
    { arbitrary: fc.constant('none' as const), weight: 8 },
    {
      arbitrary: fc.constantFrom('unknown-service' as const, 'version-not-above' as const),
      weight: 1,
    },
  ),
  base: fc.oneof(
    { arbitrary: fc.constant('newest' as const), weight: 8 },
    { arbitrary: fc.constantFrom('older' as const, 'future' as const), weight: 1 },
  ),
  rise: fc.integer({ min: 1, max: 2 }),
  variant: fc.nat({ max: 3 }),
  calls: calls(3),
});

/** Repeats of orders, 0 being the latest. */
const repeats = (order: fc.Arbitrary<number>): fc.Arbitrary<RepeatStep> =>
  fc.record({ kind: fc.constant('repeat'), order, calls: calls(CALLS_AT_ONCE) });

const read: fc.Arbitrary<ReadStep> = fc.record({ kind: fc.constant('read'), node: small });

const faults: readonly fc.Arbitrary<Action>[] = [
  fc.record({ kind: fc.constant('kill'), member: small, downtime }),
  fc.record({
    kind: fc.constant('power-loss'),
    member: small,
    write: fc.integer({ min: 1, max: 6 }),
    moment: fc.constantFrom('before', 'after'),
    downtime,
  }),
  fc.record({ kind: fc.constant('lose-disk'), member: small, downtime }),
  fc.record({
    kind: fc.constant('crash-at-message'),
    call: watchedCall,
    stage: fc.constantFrom('ask', 'reply'),
    side: fc.constantFrom('sender', 'receiver'),
    count: fc.integer({ min: 1, max: 4 }),
    downtime,
  }),
  fc.record({ kind: fc.constant('isolate'), member: small, direction, duration }),
  fc.record({ kind: fc.constant('cut-link'), member: small, other: small, direction, duration }),
  fc.record({
    kind: fc.constant('disk'),
    member: small,
    trouble: fc.constantFrom('stalled', 'slow', 'full'),
    duration,
  }),
  fc.record({ kind: fc.constant('freeze'), member: small, duration }),
  fc.record({
    kind: fc.constant('messages'),
    call: watchedCall,
    fate: fc.constantFrom('drop', 'late', 'twice'),
    every: fc.integer({ min: 1, max: 4 }),
    duration,
  }),
  fc.record({ kind: fc.constant('heal') }),
];

/** Mostly right after one another, at times with the time that a round, a lease or a restart takes in between. */
const pause = fc.oneof(
  { arbitrary: fc.constant(0), weight: 3 },
  { arbitrary: fc.integer({ min: 1, max: 30 }), weight: 4 },
  { arbitrary: fc.integer({ min: 30, max: 300 }), weight: 3 },
  { arbitrary: fc.integer({ min: 300, max: 1500 }), weight: 1 },
);

/** Steps in which calls and faults of the kinds given alternate as chance will have it. */
export const stepsOf = (
  faultKinds: readonly fc.Arbitrary<Action>[] = faults,
  most = 60,
  repeated: fc.Arbitrary<number> = small,
): fc.Arbitrary<Step[]> =>
  fc.array(
    fc.record({
      action: fc.oneof(
        { arbitrary: change, weight: 6 },
        { arbitrary: repeats(repeated), weight: 3 },
        { arbitrary: read, weight: 3 },
        { arbitrary: fc.oneof(...faultKinds), weight: 5 },
      ),
      pause,
    }),
    { minLength: 1, maxLength: most, size: 'max' },
  );

export const schedules = (steps = stepsOf()): fc.Arbitrary<Schedule> =>
  fc.record({
    members: fc.constantFrom<3 | 5>(3, 5),
    worldSeed: fc.integer({ min: 1, max: 1_000_000 }),
    steps,
  });

/** Schedules that begin behind so many acknowledged changes, and repeat the latest and the oldest orders. */
export const longSchedules = (changesBefore: number, most: number): fc.Arbitrary<Schedule> => {
  const oldest = fc.integer({ min: changesBefore - most, max: changesBefore + most });
  const steps = stepsOf(faults, most, fc.oneof(small, oldest));
  return schedules(steps).map((schedule) => ({ ...schedule, changesBefore }));
};
