/**
 * A face whose application is made when the first request needs it. Most processes of a fleet are never called by an
 * operator, and making a Nest application is a good part of what it costs to start one. The listening socket and the
 * questions on the process itself are there from the start; the request that comes first waits, its body unread, until
 * the application stands, and then is answered whole.
 */
import type { IncomingMessage, RequestListener, ServerResponse } from 'node:http';
import type { Outcome } from '../../kernel/fault/fault.js';
import type { Face } from '../../node/extension.js';
import { PlainFace, sendJson, type Answers } from './plain-face.js';

/** An application that answers requests without a socket of its own. */
export interface Application {
  readonly handle: RequestListener;
  close(): Promise<unknown>;
}

/** Makes the application. */
export type MakeApplication = () => Promise<Outcome<Application>>;

/** Listens for requests and hands them to an application that is made for the first of them. */
export class OnDemandFace implements Face {
  private readonly plain: PlainFace;
  private making: Promise<Outcome<Application>> | undefined;

  constructor(
    answers: Answers,
    private readonly make: MakeApplication,
  ) {
    this.plain = new PlainFace(answers, (request, response) => void this.pass(request, response));
  }

  /** Where it listens. */
  get address(): string {
    return this.plain.address;
  }

  async listen(address: string): Promise<Outcome<Face>> {
    return (await this.plain.listen(address)).map(() => this);
  }

  async close(): Promise<void> {
    await this.plain.close();
    const made = await this.making;
    await made?.map((application) => application.close()).orDefault(Promise.resolve());
  }

  private async pass(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const made = await (this.making ??= this.make());
    made.caseOf({
      Right: ({ handle }) => handle(request, response),
      Left: ({ step, peer, reason }) => {
        // The next request tries again.
        this.making = undefined;
        sendJson(response, 500, { outcome: 'declined', step, peer, reason });
      },
    });
  }
}
