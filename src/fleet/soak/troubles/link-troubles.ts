/** Links that are cut, one way too, reset and delayed: between our own processes, and those of callers and operators. */
import type { Heal } from '../network.js';
import type { IncidentKind } from '../record.js';
import type { Trouble, TroubleKind } from '../schedule.js';
import {
  between,
  chosen,
  type TroubleAction,
  type TroubleActions,
  type TroubleContext,
} from './context.js';

const SHORTEST_DELAY = 20;
const LONGEST_DELAY = 300;

interface Struck {
  readonly names: readonly string[];
  readonly heal: Heal;
}

/** Keeps something up for the trouble's time, and notes it for each that is struck. */
const lasting =
  (
    kind: IncidentKind,
    strike: (context: TroubleContext, trouble: Trouble) => Struck,
  ): TroubleAction =>
  async (context, trouble) => {
    const { names, heal } = strike(context, trouble);
    const over = names.map((name) => context.incidents.begin(kind, name));
    await context.wait(trouble.duration);
    heal();
    for (const each of over) each();
    return names;
  };

const without = (names: readonly string[], some: readonly string[]): string[] =>
  names.filter((name) => !some.includes(name));

const nodeCutOff = lasting('peers', ({ processes, network }, trouble) => {
  const names = chosen(processes.all, trouble);
  return { names, heal: network.split(names, without(processes.all, names)) };
});

/** Two sides, each with some of the core machines and of the routers. */
const coreHalved = lasting('peers', ({ processes, network }, trouble) => {
  const { all, cores, routers } = processes;
  const side = [
    ...chosen(cores, trouble, between(trouble, 1, cores.length - 1)),
    ...routers.filter((_, at) => (trouble.choice >> (at + 4)) % 2 === 1),
  ];
  return { names: all, heal: network.split(side, without(all, side)) };
});

const twoOf = ({ processes }: TroubleContext, trouble: Trouble): readonly [string, string] => {
  const [one] = chosen(processes.all, trouble);
  const others = without(processes.all, [one!]);
  return [one!, others[trouble.choice % others.length]!];
};

const linkCut = lasting('peers', (context, trouble) => {
  const [one, other] = twoOf(context, trouble);
  return { names: [one, other], heal: context.network.cut(one, other) };
});

const linkCutOneWay = lasting('peers', (context, trouble) => {
  const [one, other] = twoOf(context, trouble);
  return { names: [one, other], heal: context.network.cutOneWay(one, other) };
});

const linksReset: TroubleAction = (context, trouble) => {
  const { processes, network, incidents } = context;
  const names = chosen(processes.all, trouble, between(trouble, 1, 2));
  for (const name of names) {
    network.resetPeers(name, without(processes.all, [name]));
    incidents.note('peers', name);
  }
  return Promise.resolve(names);
};

const linksDelayed = lasting('peers', ({ processes, network }, trouble) => {
  const names = chosen(processes.all, trouble);
  const delay = between(trouble, SHORTEST_DELAY, LONGEST_DELAY);
  const heals = names.map((name) =>
    network.faultPeers(name, without(processes.all, [name]), { delay }),
  );
  return {
    names,
    heal: () => {
      for (const heal of heals) heal();
    },
  };
});

const onOperators = (fault: object): TroubleAction =>
  lasting('answers-lost', ({ processes, network }, trouble) => {
    const names = chosen(processes.all, trouble, between(trouble, 1, processes.all.length));
    const heals = names.map((name) => network.operators.relay(name).all.apply(fault));
    return {
      names,
      heal: () => {
        for (const heal of heals) heal();
      },
    };
  });

const callersHeld = lasting('link', ({ processes, network }, trouble) => {
  const names = chosen(processes.routers, trouble);
  const heals = names.map((name) =>
    network.requests.relay(name).all.apply({ holdForward: true, holdBackward: true }),
  );
  return {
    names,
    heal: () => {
      for (const heal of heals) heal();
    },
  };
});

const callersReset: TroubleAction = ({ processes, network, incidents }, trouble) => {
  const names = chosen(processes.routers, trouble);
  for (const name of names) {
    incidents.note('link', name);
    network.requests.relay(name).all.reset();
  }
  return Promise.resolve(names);
};

/** The troubles of links. */
export const linkTroubles: TroubleActions = new Map<TroubleKind, TroubleAction>([
  ['node-cut-off', nodeCutOff],
  ['core-halved', coreHalved],
  ['link-cut', linkCut],
  ['link-cut-one-way', linkCutOneWay],
  ['links-reset', linksReset],
  ['links-delayed', linksDelayed],
  ['answers-lost', onOperators({ loseAnswers: true })],
  ['operators-held', onOperators({ holdBackward: true })],
  ['callers-held', callersHeld],
  ['callers-reset', callersReset],
]);
