/** How a core machine is lost, and what takes its place. */
import type { ControlPlane } from './cluster.js';

/**
 * `moved`: gone for good, an empty machine at another address comes. `planned`: the same, but it is told to stop and
 * the other one is there before. `wiped`: it comes back at its address with an empty disk. `power`, `killed`: it comes back
 * with its disk.
 */
export type Loss = 'moved' | 'planned' | 'wiped' | 'power' | 'killed';
export const LOSSES: readonly Loss[] = ['moved', 'planned', 'wiped', 'power', 'killed'];

/** Loses a machine now, and brings back what stands for it after a downtime; the number of that. */
export const lose = (
  plane: ControlPlane,
  loss: Loss,
  number: number,
  downtime: number,
): Promise<number> => {
  if (loss === 'planned') {
    const successor = plane.startAnother();
    void plane.stop(number);
    return Promise.resolve(successor);
  }
  if (loss === 'killed') plane.kill(number);
  else if (loss === 'power') plane.losePower(number);
  else plane.loseDisk(number);
  return new Promise((resolve) =>
    plane.world.at(downtime, () => {
      if (loss === 'moved') return resolve(plane.startAnother());
      plane.start(number);
      resolve(number);
    }),
  );
};

/** The ms from now until a machine votes in a whole set that holds all that was committed when it got its vote. */
export const untilWhole = async (
  plane: ControlPlane,
  number: number,
  limit: number,
): Promise<number | undefined> => {
  const since = plane.world.now;
  let target = 0;
  const isWhole = await plane.pass(limit, () => {
    if (target === 0 && plane.voterNumbers.includes(number)) target = plane.committed;
    return target > 0 && plane.isWhole(target);
  });
  return isWhole ? plane.world.now - since : undefined;
};
