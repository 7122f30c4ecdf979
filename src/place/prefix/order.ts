/**
 * The order in which all routers prefer engines for a prefix, by rendezvous hashing: each hashes key and engine alike, so
 * they agree without a word, and an engine that comes or goes moves only the keys that are its own.
 */
export const hashOf = (text: string): number => {
  let hash = 0x811c9dc5;
  for (let at = 0; at < text.length; at++) hash = Math.imul(hash ^ text.charCodeAt(at), 0x01000193);
  return mixed(hash);
};

const mixed = (word: number): number => {
  let hash = word;
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b);
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35);
  return (hash ^ (hash >>> 16)) >>> 0;
};

/** The weight of an engine for a key. */
export const attraction = (key: number, engine: number): number =>
  mixed(key ^ Math.imul(engine, 0x9e3779b1));

/** How many of the first places are told apart; all later ones are one. */
export const RANKS = 4;

/** The first places of the order: positions in `engines`, the most attracted first. */
export const leaders = (key: number, engines: readonly number[]): number[] => {
  const best: number[] = [];
  const pulls: number[] = [];
  for (let at = 0; at < engines.length; at++) {
    const pull = attraction(key, engines[at]!);
    if (best.length === RANKS && pull <= pulls[RANKS - 1]!) continue;
    let place = best.length === RANKS ? RANKS - 1 : best.length;
    for (; place > 0 && pulls[place - 1]! < pull; place--) {
      best[place] = best[place - 1]!;
      pulls[place] = pulls[place - 1]!;
    }
    best[place] = at;
    pulls[place] = pull;
  }
  return best;
};

/** The pull from which on an engine is among the first `count` of the order. */
export const pullOf = (key: number, engines: readonly number[], count: number): number => {
  const pulls = Float64Array.from(engines, (engine) => attraction(key, engine)).sort();
  return pulls[pulls.length - count]!;
};
