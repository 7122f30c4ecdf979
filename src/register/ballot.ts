/** Ballots order the rounds of the register: a counter, then the proposing node, then its incarnation. */
import { number, struct, text } from '../wire/field.js';

export interface Ballot {
  counter: number;
  node: string;
  incarnation: string;
}

export const ballotField = struct<Ballot>({ counter: number, node: text, incarnation: text });

export const FIRST: Ballot = { counter: 0, node: '', incarnation: '' };

export const ballotText = ({ counter, node }: Ballot): string => `${counter}/${node}`;

export const compareBallots = (a: Ballot, b: Ballot): number => {
  if (a.counter !== b.counter) return a.counter - b.counter;
  if (a.node !== b.node) return a.node < b.node ? -1 : 1;
  if (a.incarnation !== b.incarnation) return a.incarnation < b.incarnation ? -1 : 1;
  return 0;
};
