/** Stands where the calls on the configuration are not there yet: nothing is taken, and nothing is known. */
import { failed } from '../kernel/fault/fault.js';
import type { ConfigurationCalls, ConfigureReply } from './configuration.js';

const unknown: ConfigureReply = { outcome: 'unknown', version: 0, reason: 'no configuration is kept here' };

export const absentConfigurator: ConfigurationCalls = {
  replace: () => Promise.resolve(unknown),
  patch: () => Promise.resolve(unknown),
  read: () => Promise.resolve(failed('configuration.read', 'self', unknown.reason)),
};
