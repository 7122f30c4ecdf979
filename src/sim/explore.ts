/**
 * Explores schedules by deviations: a run meets numbered choices, each with a usual way and some mishaps. First the
 * usual run, then every run that deviates at one choice, then those that deviate at two, evenly thinned to a bound.
 * Each run starts from nothing, so that a failing script replays exactly.
 */
import type { Mishap } from './world.js';

export type Script = ReadonlyMap<number, Mishap>;

export interface Explored {
  readonly runs: number;
  readonly choices: number;
}

const mishaps: readonly Mishap[] = ['drop', 'twice', 'late'];

export const explore = async (
  act: (script: Script) => Promise<number>,
  pairs: number,
): Promise<Explored> => {
  const choices = await act(new Map());
  let runs = 1;
  const singles: Array<readonly [number, Mishap]> = [];
  for (let choice = 0; choice < choices; choice++)
    for (const mishap of mishaps) singles.push([choice, mishap]);
  const attempt = async (script: Script): Promise<void> => {
    runs += 1;
    try {
      await act(script);
    } catch (thrown) {
      throw new Error(`schedule ${JSON.stringify([...script])}: ${String(thrown)}`);
    }
  };
  for (const single of singles) await attempt(new Map([single]));
  const all = (singles.length * (singles.length - 1)) / 2;
  const stride = Math.max(1, Math.floor(all / Math.max(1, pairs)));
  let number = 0;
  for (let i = 0; i < singles.length; i++) {
    for (let j = i + 1; j < singles.length; j++) {
      if (number++ % stride !== 0 || singles[i]![0] === singles[j]![0] || pairs === 0) continue;
      await attempt(new Map([singles[i]!, singles[j]!]));
    }
  }
  return { runs, choices };
};
