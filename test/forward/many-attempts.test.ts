/** A request that meets many engines leaves no warning of a leak on standard error, which costs a process its time. */
import { expect, test } from 'vitest';
import { callerLine, notRun, openScripted, requestText, sized, type Script } from './scripted.js';

const ENGINES = 14;

test('a request that is turned away by more engines than a signal may have listeners', async () => {
  const warnings: Error[] = [];
  const note = (warning: Error): void => void warnings.push(warning);
  process.on('warning', note);
  const scripts: Script[] = Array.from(
    { length: ENGINES },
    (_, at): Script =>
      (exchange) =>
        void exchange.socket.write(at < ENGINES - 1 ? notRun(exchange) : sized(exchange)),
  );
  const stage = await openScripted({ scripts, route: { attempts: ENGINES } });
  const line = callerLine(stage.address);
  line.send(requestText('a'));
  await line.answered(1);
  process.off('warning', note);
  expect(line.reader.answers.map(({ status }) => status)).toEqual([200]);
  expect(warnings).toEqual([]);
});
