/** Orders on the configuration of routes, as the product takes them and as the history checker judges them. */
import type { Configuration, Patch } from '../route/shape.js';
import type { ChangeRequest, Content } from './call.js';

/** A whole configuration or a patch, on top of the version that it expects. */
export interface ConfigurationOrder {
  readonly body: Configuration | Patch;
  readonly expects: number;
}

/** The named items of a configuration as the checker compares them. */
export const contentOf = ({ routes = [], services = [] }: Partial<Configuration>): Content =>
  new Map([
    ...routes.map((each) => [`route ${each.name}`, JSON.stringify(each)] as const),
    ...services.map((each) => [`service ${each.name}`, JSON.stringify(each)] as const),
  ]);

/** The request of an order, as the checker judges it. */
export const requestOf = ({ body, expects }: ConfigurationOrder, valid: boolean): ChangeRequest => {
  const { version } = body;
  const common = { id: `${expects} ${JSON.stringify(body)}`, version, expects, valid };
  if ('routes' in body) return { ...common, kind: 'replace', content: contentOf(body) };
  const remove = (body.remove.routes ?? []).map((name) => `route ${name}`);
  return { ...common, kind: 'patch', set: contentOf(body.set), remove };
};
