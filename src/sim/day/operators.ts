/**
 * The operators of both firms: they change doorways in uneven steps, alone, in races and in storms, through any living
 * node, and keep what they were told. At the day's end what they were told is held against what was kept.
 */
import type { Operations } from '../../api/operations.js';
import type { Schemas } from '../../api/schema.js';
import type { Fault as Failure } from '../../kernel/fault/fault.js';
import { pick } from '../../kernel/random/random.js';
import type { Document } from '../../register/document.js';
import type { Stage } from './stage.js';

export type Groups = 'even' | 'odd' | 'all';

/** After this long without a failure, an accepted change must be told so within the promised time. */
const CALM = 8000;
const PROMISED = 2000;

/** How often one change is asked for, at most. */
const TRIES = 8;

type Act = (operations: Operations) => ReturnType<Operations['setDoorway']>;

interface Answer {
  readonly outcome: string;
  readonly revision: number;
}

export interface Told {
  readonly id: string;
  readonly doorway: string;
  readonly expects: number;
  readonly groups: Groups;
  readonly asked: number;
  outcome: string;
  revision: number;
  at: number;
}

export class Operators {
  readonly told: Told[] = [];
  readonly calmAccepted: number[] = [];
  readonly names = ['sahel-short', 'sahel-long', 'aconcagua-short', 'aconcagua-long'];
  /** The newest revision that any operator was told is accepted. */
  accepted = 1;
  /** Which share of the answers is lost on its way; the same change is then asked for again, at any living node. */
  answersLost = 0;
  private number = 0;

  constructor(private readonly stage: Stage) {}

  async open(): Promise<void> {
    for (const name of this.names) {
      for (let tries = 0; ; tries++) {
        const told = await this.change(name, 0, 'all', `open-${name}`, 5000);
        if (told.outcome === 'accepted') break;
        if (tries > 20)
          throw new Error(
            `seed ${this.stage.seed}: could not open ${name}: ${JSON.stringify(told)}`,
          );
        await this.stage.pause(500);
      }
    }
  }

  /** Changes over a span of the day, in uneven steps; now and then by competing writers, and now and then a storm. */
  work(from: number, span: number): void {
    const { world, random } = this.stage;
    for (let at = 500; at < span; at += 400 + random.fraction() * 4000) {
      world.at(from - world.now + at, () =>
        this.compete(
          random.fraction() < 0.1
            ? 12
            : random.fraction() < 0.2
              ? 3
              : random.fraction() < 0.4
                ? 2
                : 1,
        ),
      );
    }
  }

  /** Some operators change the same doorway at once, each from what it saw. */
  compete(writers: number): void {
    const { random } = this.stage;
    const name = pick(random, this.names)!;
    const newest = this.newest(name);
    if (writers > 1) this.stage.tally.note('rivals', writers);
    for (let each = 0; each < writers; each++)
      void this.change(
        name,
        newest,
        pick(random, ['even', 'odd', 'all'] as const)!,
        `c${++this.number}`,
        4000 + random.fraction() * 4000,
      );
  }

  /** All doorways of one firm in one change, and maybe competing writers that do the same. */
  many(writers: number): void {
    const { random, tally } = this.stage;
    const firm = pick(random, ['sahel', 'aconcagua'])!;
    const names = this.names.filter((name) => name.startsWith(firm));
    const expects = names.map((name) => this.newest(name));
    tally.note('rivals', writers > 1 ? writers : 0);
    for (let each = 0; each < writers; each++) {
      const groups = pick(random, ['even', 'odd', 'all'] as const)!;
      const id = `c${++this.number}`;
      const sets = names.map((name, at) => ({
        doorway: this.doorway(name, groups),
        expects: expects[at]!,
      }));
      const wanted = names.map((doorway, at): Told => ({
        id,
        doorway,
        expects: expects[at]!,
        groups,
        asked: this.stage.world.now,
        outcome: 'silent',
        revision: 0,
        at: Infinity,
      }));
      void this.ask(wanted, 5000, (operations) =>
        operations.applyDoorways(
          { firm, who: 'operator' },
          { change: id, sets, removes: [], wait: 5000 },
        ),
      );
    }
  }

  /** One change through some living node; what the operator was told is kept. */
  async change(
    doorway: string,
    expects: number,
    groups: Groups,
    id = `c${++this.number}`,
    wait = 5000,
  ): Promise<Told> {
    const spec = this.doorway(doorway, groups);
    const told: Told = {
      id,
      doorway,
      expects,
      groups,
      asked: this.stage.world.now,
      outcome: 'silent',
      revision: 0,
      at: Infinity,
    };
    await this.ask([told], wait, (operations) =>
      operations.setDoorway(
        { firm: spec.firm, who: 'operator' },
        { change: id, doorway: spec, expects, wait },
      ),
    );
    return told;
  }

  /** The newest revision of a doorway that any operator was told of. */
  newest(name: string): number {
    return Math.max(
      0,
      ...this.told
        .filter((each) => each.doorway === name && each.revision > 0)
        .map(({ revision }) => revision),
    );
  }

  private async ask(wanted: readonly Told[], wait: number, act: Act): Promise<void> {
    const { stage } = this;
    const { world, tally } = stage;
    this.told.push(...wanted);
    const told = { ...wanted[0]! };
    const calm = stage.calmFor(CALM);
    const given = await this.askUntilHeard(told.id, wait, act);
    if (!given) return;
    told.outcome = given.outcome;
    told.revision = given.revision;
    told.at = world.now;
    for (const each of wanted)
      Object.assign(each, { outcome: told.outcome, revision: told.revision, at: told.at });
    const took = Math.round(told.at - told.asked);
    if (told.outcome === 'accepted') {
      this.accepted = Math.max(this.accepted, told.revision);
      tally.note('acceptedInForce');
    } else if (told.outcome !== 'silent' && told.outcome !== 'unknown')
      tally.note('declinedChanges');
    if (calm && stage.calmFor(CALM)) {
      if (told.outcome === 'accepted') this.calmAccepted.push(took);
      if ((told.outcome === 'accepted' && took > PROMISED) || told.outcome === 'unknown')
        tally.find(
          'slow-accepted',
          `${told.outcome} after ${took} ms with no failure under way`,
          told.id,
        );
    }
  }

  /** Asks for a change, and again as long as its answer is lost; a repeat of what was accepted must never be refused. */
  private async askUntilHeard(id: string, wait: number, act: Act): Promise<Answer | undefined> {
    const { stage } = this;
    let accepted = false;
    for (let tries = 1; ; tries++) {
      const answer = await this.askOnce(wait, act);
      if (!answer) return undefined;
      if (accepted && (answer.outcome === 'lost' || answer.outcome === 'declined'))
        stage.tally.find('repeat-refused', `${answer.outcome} after it was accepted`, id);
      accepted ||= answer.outcome === 'accepted';
      if (tries === TRIES || stage.random.fraction() >= this.answersLost) return answer;
      stage.tally.note('answersLost');
    }
  }

  /** One call at some living node. */
  private async askOnce(wait: number, act: Act): Promise<Answer | undefined> {
    const { stage } = this;
    const via = pick(
      stage.random,
      [...stage.cores.values(), ...stage.routers.values()].filter(({ host }) => !host.dead),
    );
    if (!via) return undefined;
    const done = await Promise.race([
      act(via.operations),
      stage.pause(wait + 3000).then(() => undefined),
    ]);
    if (!done) return { outcome: 'silent', revision: 0 };
    return done.caseOf<Answer>({
      Left: ({ certainty }: Failure) => ({ outcome: certainty, revision: 0 }),
      Right: ({ outcome, revision }) => ({ outcome, revision }),
    });
  }

  /** What was told against what is kept in the end. */
  check(final: Document, history: ReadonlySet<string>): void {
    const { tally } = this.stage;
    const wins = new Map<string, Told[]>();
    for (const told of this.told) {
      const applied = final.outcomes.get(told.id);
      if (told.outcome === 'accepted' && applied?.revision !== told.revision)
        tally.find('accepted-lost', `told ${told.revision}, kept ${applied?.revision}`, told.id);
      if (told.outcome === 'accepted' && !history.has(told.id))
        tally.find('accepted-lost', 'not in the history', told.id);
      if (
        (told.outcome === 'lost' || told.outcome === 'declined') &&
        (applied || history.has(told.id))
      )
        tally.find('declined-took-effect', `in revision ${applied?.revision}`, told.id);
      if (!applied) continue;
      const key = `${told.doorway}@${told.expects}`;
      wins.set(key, [...(wins.get(key) ?? []), told]);
    }
    for (const [key, winners] of wins)
      if (winners.length > 1)
        tally.find('rivals-both-won', winners.map(({ id }) => id).join(' '), key);
  }

  /** Whether some value of a doorway that could be in force at a moment allows an engine. */
  allows(doorway: string, engine: string, at: number, final: Document): boolean {
    if (!engine.startsWith('engine-')) return false;
    const number = Number(engine.split('+')[0]!.split('-')[1]);
    const placeOf = ({ id }: Told): number => final.outcomes.get(id)!.revision;
    const values = this.told
      .filter((told) => told.doorway === doorway && final.outcomes.has(told.id))
      .sort((a, b) => placeOf(a) - placeOf(b));
    return values.some((told, place) => {
      const superseded = values
        .slice(place + 1)
        .some((next) => next.outcome === 'accepted' && next.at < at - 20);
      return (
        !superseded && (told.groups === 'all' || (told.groups === 'even') === (number % 2 === 0))
      );
    });
  }

  private doorway(name: string, groups: Groups): Schemas['Doorway'] {
    const [firm, tag] = name.split('-') as [string, 'short' | 'long'];
    return {
      name,
      firm,
      match: { tag },
      engines:
        groups === 'all'
          ? [{ label: 'pool', value: 'shared' }]
          : [{ label: 'group', value: groups }],
      repeatable: tag === 'long',
      resume: name === 'sahel-long',
      limits: { firstToken: tag === 'short' ? 3000 : 8000, total: 15_000 },
      line: 200,
      share: tag === 'short' ? 4 : 1,
    };
  }
}
