/** Processor time and memory of other processes, as the kernel tells them. */
import { readFileSync } from 'node:fs';

const TICKS = 100;
const PAGE = 1024;

/** Processor time and memory of another process. */
export interface ProcessUsage {
  /** Seconds of processor time since the start. */
  readonly processor: number;
  /** Bytes resident, now and at the most. */
  readonly rss: number;
  readonly peak: number;
  /** Resident bytes that are not pages of files, which processes of one program share. */
  readonly own: number;
}

/** Reads the usage of a process. */
export const usageOf = (pid: number): ProcessUsage => {
  const stat = readFileSync(`/proc/${pid}/stat`, 'latin1');
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  const status = readFileSync(`/proc/${pid}/status`, 'latin1');
  const kilobytes = (name: string): number =>
    Number(new RegExp(`^${name}:\\s+(\\d+)`, 'm').exec(status)?.[1] ?? 0) * PAGE;
  return {
    processor: (Number(fields[11]) + Number(fields[12])) / TICKS,
    rss: kilobytes('VmRSS'),
    peak: kilobytes('VmHWM'),
    own: kilobytes('RssAnon'),
  };
};
