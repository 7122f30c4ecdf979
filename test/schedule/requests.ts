/** The requests that operators send in schedules, for the product and for the history checker. */
import { requestOf } from '../../src/history/order.js';
import type { ChangeRequest } from '../../src/history/call.js';
import type { Configuration, Patch, Route } from '../../src/route/shape.js';
import type { ChangeStep } from './steps.js';

/** A request as the product takes it, with what the checker knows of it. */
export interface Order {
  readonly request: ChangeRequest;
  readonly body: Configuration | Patch;
}

const SERVICE = { name: 's' };

const route = (name: string, timeout: number, service = SERVICE.name): Route => ({
  name,
  host: 'h.example',
  prefix: `/${name}/`,
  kind: 'idempotent',
  timeout,
  service,
});

const orderOf = (body: Configuration | Patch, expects: number, valid: boolean): Order => ({
  body,
  request: requestOf({ body, expects }, valid),
});

/** The order that a step stands for, on top of the version given. */
export const orderFor = (
  { form, defect, rise, variant }: Omit<ChangeStep, 'calls'>,
  expects: number,
): Order => {
  const version = defect === 'version-not-above' ? Math.max(1, expects) : expects + rise;
  const valid = defect === 'none' || (defect === 'version-not-above' && expects === 0);
  const service = defect === 'unknown-service' ? 'missing' : SERVICE.name;
  const changed = route(`r${variant}`, 1000 + variant, service);
  if (form === 'replace') {
    const routes = [changed, route(`v${version}`, version + variant)];
    return orderOf({ version, routes, services: [SERVICE] }, expects, valid);
  }
  const set = { routes: [changed, route('shared', version + variant)], services: [SERVICE] };
  const remove = { routes: [`r${variant + 1}`] };
  return orderOf({ version, set, remove }, expects, valid);
};
