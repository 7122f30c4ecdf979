/** The answers of `StatusController`, for a server that has no application. */
import type { Registry } from 'prom-client';
import { sendJson, sendText, type Answer, type Answers } from './plain-face.js';
import type { ReadyQuestion } from './status.js';

/** What a process says of itself at /live, /ready and /metrics. */
export const statusAnswers = (status: ReadyQuestion, metrics: Registry): Answers =>
  new Map([
    ['/live', (response) => sendJson(response, 200, { live: true })],
    [
      '/ready',
      (response) => {
        const reason = status();
        sendJson(response, reason ? 503 : 200, { ready: !reason, reason });
      },
    ],
    [
      '/metrics',
      async (response) => sendText(response, 200, await metrics.metrics(), metrics.contentType),
    ],
  ]);

/** Says with the status alone whether the process is ready, and with a plain text why it is not. */
export const readyText =
  (status: ReadyQuestion): Answer =>
  (response) => {
    const reason = status();
    sendText(response, reason ? 503 : 200, reason);
  };
