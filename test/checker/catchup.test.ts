/**
 * Members and routers that missed 10, 100 or 1,000 changes of a configuration of 500 routes: they are caught up within the
 * bound, by frames, bytes and disk writes that do not grow with the number of changes missed.
 */
import { encodeDocument } from '../../src/register/document.js';
import { expect, test } from 'vitest';
import { CATCH_UP, costBetween, Plane, type Cost } from './catchup.js';

const ROUTES = 500;
/** Long enough that a member which was away has mended its history too. */
const REPAIRED = 10_000;
/** Frames that are small: promises, leases, looks at how far others are. */
const SMALL_TALK = 150_000;

interface Measured {
  readonly missed: number;
  /** The ms until the member voted on the newest revision. */
  readonly took: number | undefined;
  readonly revision: number;
  readonly member: Cost;
  readonly memberRepaired: Cost;
  readonly router: Cost;
}

const absence = async (plane: Plane, missed: number): Promise<Measured> => {
  const others = [...plane.cores, plane.routers[0]!].map(({ host }) => host.name);
  const heal = plane.world.part(['router-1'], others);
  plane.cores[2]!.host.kill();
  for (let at = 0; at < missed; at++) expect(await plane.change()).toBeDefined();
  const [member, router] = [plane.cost('core-2'), plane.cost('router-1')];
  plane.cores[2] = plane.startCore(2);
  heal();
  const took = await plane.caughtUp(2);
  const caughtUp = costBetween(member, plane.cost('core-2'));
  expect(await plane.everywhere(plane.routers, CATCH_UP)).toBe(true);
  const routerCost = costBetween(router, plane.cost('router-1'));
  await plane.pass(REPAIRED);
  return {
    missed,
    took,
    revision: encodeDocument(plane.cores[0]!.member.newest!).length,
    member: caughtUp,
    memberRepaired: costBetween(member, plane.cost('core-2')),
    router: routerCost,
  };
};

test('what a member and a router take to catch up does not grow with the changes missed', async () => {
  const plane = new Plane(1, ROUTES, 2);
  expect(await plane.begin()).toBe(true);
  for (const missed of [10, 100, 1000]) {
    const measured = await absence(plane, missed);
    if (process.env['FIGURES']) console.log(JSON.stringify(measured));
    const { took, revision, member, memberRepaired, router } = measured;
    expect(took).toBeLessThan(CATCH_UP / 4);
    expect(member.receivedBytes).toBeLessThan(1.5 * revision);
    expect(member.diskWrites).toBeLessThanOrEqual(2);
    expect(router.receivedBytes).toBeLessThan(1.5 * revision);
    expect(memberRepaired.receivedBytes).toBeLessThan(3 * revision + SMALL_TALK);
    expect(memberRepaired.diskBytes).toBeLessThan(4 * revision);
    expect(memberRepaired.diskWrites).toBeLessThanOrEqual(4);
  }
});
