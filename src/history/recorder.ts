/** Records calls on the configuration as they begin and end, so that the whole history can be judged afterwards. */
import type { Call, ChangeAnswer, ChangeRequest, ReadAnswer } from './call.js';

interface Opened<Answer> {
  /** Notes what the client was answered; a call that is never closed stays unclear. */
  close(answer: Answer): void;
}

export class HistoryRecorder {
  private readonly recorded: Call[] = [];

  /** The clock is that of the clients; it must be one and the same for all of them. */
  constructor(private readonly now: () => number) {}

  openChange(node: string, request: ChangeRequest): Opened<ChangeAnswer> {
    const number = this.recorded.length;
    const start = this.now();
    const call = { kind: 'change', number, node, start, request } as const;
    this.recorded.push({ ...call, end: Infinity, answer: 'unclear' });
    return {
      close: (answer) => {
        this.recorded[number] = { ...call, end: this.now(), answer };
      },
    };
  }

  openRead(node: string): Opened<ReadAnswer> {
    const number = this.recorded.length;
    const start = this.now();
    const call = { kind: 'read', number, node, start } as const;
    this.recorded.push({ ...call, end: Infinity, answer: { kind: 'unclear' } });
    return {
      close: (answer) => {
        this.recorded[number] = { ...call, end: this.now(), answer };
      },
    };
  }

  get calls(): readonly Call[] {
    return this.recorded;
  }
}
