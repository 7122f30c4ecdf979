/** Judges one try's answer against what the engines made for it. */
import { eventId, type Arrival, type Asked, type Try } from './record.js';

type Breach = readonly ['mixed' | 'order', string];

/** What is wrong with the answer to one try. */
export const answerBreaches = (asked: Asked, told: Try, arrivals: readonly Arrival[]): Breach[] => {
  const breaches: Breach[] = [];
  const mixed = (detail: string): void => void breaches.push(['mixed', detail]);
  const broke = arrivals.some(({ ended }) => ended === 'cut');
  if (told.malformed && !broke) mixed(`bytes that are no answer: ${told.malformed}`);
  if (told.surplus > 0) mixed('bytes behind the whole answer');
  if (told.answeredId !== '' && told.answeredId !== told.id)
    mixed(`the answer of ${told.answeredId}`);
  if (told.status < 200 || told.status >= 300) {
    const sealed = told.seal ? arrivals.find(({ seal }) => seal === told.seal) : undefined;
    if (told.seal && !sealed) mixed('a seal that no engine gave');
    if (sealed && told.complete && sealed.made.join('') !== told.body)
      mixed("a failure whose body is not its engine's");
    return breaches;
  }
  if (told.encoding) mixed('an encoded body');
  if (!told.seal) mixed("a success without its engine's seal");
  const origin = arrivals.find(({ seal, ran }) => ran > 0 && seal === told.seal);
  if (!origin) {
    mixed('a success under a seal that no engine gave for it');
    return breaches;
  }
  if (origin.status !== told.status) mixed(`a success where the engine said ${origin.status}`);
  if (origin.stream)
    return [
      ...breaches,
      ...streamBreaches(
        asked,
        told,
        arrivals.filter(({ ran }) => ran > 0),
      ),
    ];
  const made = origin.made.join('');
  if (told.complete && (origin.ended !== 'whole' || made !== told.body))
    mixed(
      `${told.body.length} bytes shown as complete, the engine made ${made.length} (${origin.ended})`,
    );
  if (!told.complete && !made.startsWith(told.body)) mixed('bytes that the engine did not make');
  return breaches;
};

const streamBreaches = (asked: Asked, told: Try, runs: readonly Arrival[]): Breach[] => {
  const breaches: Breach[] = [];
  const wrong = (detail: string): void => void breaches.push(['order', detail]);
  const madeBy = new Map<string, Arrival>();
  for (const run of runs) for (const event of run.made) madeBy.set(event, run);
  let last = told.after;
  let run: Arrival | undefined;
  for (const event of told.events) {
    const from = madeBy.get(event);
    const id = eventId(event);
    if (!from)
      breaches.push([
        'mixed',
        `a piece that no engine made: ${JSON.stringify(event.slice(0, 60))}`,
      ]);
    if (id !== last + 1) wrong(`piece ${id} after ${last}`);
    if (run && from && from !== run) {
      if (!asked.resume) wrong('joins two runs where it may not');
      else if (from.after !== last)
        wrong(`a run that goes on behind ${from.after} was joined behind ${last}`);
    }
    run = from ?? run;
    last = id;
  }
  const rest = told.body.slice(told.events.join('').length);
  if (rest && told.complete) wrong('ends as complete within a piece');
  if (rest && !runs.some(({ made }) => made.some((event) => event.startsWith(rest))))
    breaches.push(['mixed', 'part of a piece that no engine made']);
  const total = Math.max(0, ...runs.map((each) => each.total));
  if (told.complete && last < total) wrong(`ends as complete at piece ${last} of ${total}`);
  return breaches;
};
