/** Engines that crash, misbehave, are not reached and change places, and the platform's list that stands still. */
import type { TroubleKind as EngineFault } from '../../../stand/opaque/trouble.js';
import type { Trouble, TroubleKind } from '../schedule.js';
import { chosen, type TroubleAction, type TroubleActions, type TroubleContext } from './context.js';

const BREAKS: readonly EngineFault[] = [
  'full',
  'busy',
  'reset',
  'closed',
  'silent',
  'failure',
  'unmarked-full',
  'garbled',
  'foreign',
  'unsealed',
  'encoded',
  'unframed',
  'cut',
  'cut-reset',
  'stalled',
  'garbled-midway',
  'cut-inside',
  'cut-end',
  'surplus',
  'late',
  'late-refusal',
  'anew',
  'skips',
  'repeats',
];
/** Requests that a break strikes. */
const STRIKES = 4;

/** Notes trouble of some engines until it is over, and waits for that. */
const troubling = async (
  { engines, incidents }: TroubleContext,
  slots: readonly string[],
  act: () => Promise<void>,
): Promise<readonly string[]> => {
  const over = slots.map((slot) => incidents.begin('engine', engines.identifier(slot)));
  await act();
  for (const each of over) each();
  return slots;
};

const upSlots = ({ engines }: TroubleContext): string[] =>
  engines.names.filter((slot) => engines.isUp(slot));

const oneUp = (context: TroubleContext, trouble: Trouble): string[] =>
  chosen(upSlots(context), trouble);

const crashed: TroubleAction = (context, trouble) => {
  const slots = oneUp(context, trouble);
  return troubling(context, slots, async () => {
    for (const slot of slots) await context.engines.crash(slot);
    await context.wait(trouble.duration);
    for (const slot of slots) await context.engines.replace(slot);
  });
};

/** Two engines end, and each one's address is given to an engine of the other's service. */
const swapped: TroubleAction = (context, trouble) => {
  const { engines, wait } = context;
  const [one] = oneUp(context, trouble);
  const other = upSlots(context).find(
    (slot) => one !== undefined && engines.service(slot) !== engines.service(one),
  );
  if (one === undefined || other === undefined) return Promise.resolve([]);
  const services = [engines.service(other), engines.service(one)] as const;
  return troubling(context, [one, other], async () => {
    await Promise.all([engines.crash(one), engines.crash(other)]);
    await wait(trouble.duration / 4);
    await engines.replace(one, services[0]);
    await engines.replace(other, services[1]);
  });
};

const breaks: TroubleAction = (context, trouble) => {
  const slots = oneUp(context, trouble);
  const fault = BREAKS[trouble.choice % BREAKS.length]!;
  return troubling(context, slots, async () => {
    const engine = slots[0] && context.scene.engines.get(context.engines.identifier(slots[0]));
    if (!engine) return;
    engine.troubles.tell(fault, STRIKES);
    await context.wait(trouble.duration);
    engine.troubles.clear();
  });
};

const held: TroubleAction = (context, trouble) => {
  const slots = oneUp(context, trouble);
  return troubling(context, slots, async () => {
    const heals = slots.map((slot) =>
      context.network.engines.relay(slot).all.apply({ holdForward: true, holdBackward: true }),
    );
    await context.wait(trouble.duration);
    for (const heal of heals) heal();
  });
};

const reset: TroubleAction = (context, trouble) => {
  const slots = oneUp(context, trouble);
  return troubling(context, slots, () => {
    for (const slot of slots) context.network.engines.relay(slot).all.reset();
    return Promise.resolve();
  });
};

const PLATFORM = 'platform';

const platformPaused: TroubleAction = async ({ scene: { fleet }, incidents, wait }, trouble) => {
  const over = incidents.begin('paused', PLATFORM);
  fleet.signal(PLATFORM, 'SIGSTOP');
  await wait(trouble.duration);
  fleet.signal(PLATFORM, 'SIGCONT');
  over();
  return [PLATFORM];
};

/** The troubles of engines and of their list. */
export const engineTroubles: TroubleActions = new Map<TroubleKind, TroubleAction>([
  ['engine-crashed', crashed],
  ['engine-swapped', swapped],
  ['engine-breaks', breaks],
  ['engine-held', held],
  ['engine-reset', reset],
  ['platform-paused', platformPaused],
]);
