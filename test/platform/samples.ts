/** A settings file and items of a configuration in the platform's words, made up for tests. */
import { pick, type Random } from '../../src/kernel/random/random.js';

export const settingsText = (kind: 'front' | 'core'): string => `
node_name = "${kind === 'front' ? 'edge-1' : 'core-1'}"
ip_address = "10.0.0.5"
zone = "north"
region = "up"
internal_port_range = [6100, 6107]
seed_addresses = ["10.0.1.1:9000", "10.0.2.1:9000"]
first_start = true
${kind === 'core' ? 'data_directory = "/disk/core"' : ''}
[listen_addresses]
${kind === 'front' ? 'front = "10.0.0.5:8000"\nreadiness = "10.0.0.5:8001"' : 'control = "10.0.0.5:9000"'}
[zones]
north = "up"
south = "up"
east = "side"
west = "side"
middle = "side"
[limits]
memory_mb = 400
disk_mb = 0
file_descriptors = 4000
[tolerated_losses]
machines = 1
[bounds]
drain_ms = 5000
grace_period_s = 10
catch_up_s = 6
acknowledge_ms = 5000
configuration_apply_ms = 2500
in_touch_ms = 4000
unsettled_stretch_ms = 6000
retry_budget_ratio = 0.1
budget_window_s = 10
recovery_s = 15
[platform_api]
address = "10.9.9.9:7000"
requests_per_s = 20.0
`;

const chance = (random: Random, part: number): boolean => random.fraction() < part;
const whole = (random: Random, most: number): number => Math.floor(random.fraction() * most);

/** Fields that the product does not know, some under names it uses itself, and null. */
const strange = (random: Random): Record<string, unknown> => ({
  ...(chance(random, 0.3) && { note: ['kept', { deep: whole(random, 9) }] }),
  ...(chance(random, 0.2) && { host: 'not the host', prefix: 7, extra: { extra: 1 } }),
  ...(chance(random, 0.2) && { target_gap_ms: null }),
  ...(chance(random, 0.1) && { ['__proto__x']: true }),
});

const splitOf = (random: Random, services: readonly string[]): unknown[] =>
  services.map((service) => ({
    service,
    weight: 1 + whole(random, 99),
    ...(chance(random, 0.2) && { color: 'red' }),
  }));

export const routeIn = (
  random: Random,
  at: number,
  services: readonly string[],
): Record<string, unknown> => ({
  name: `r-${at}`,
  hostname: `h${whole(random, 3)}.example`,
  path_prefix: `/p${at}/`,
  route_kind: pick(random, ['idempotent', 'non_idempotent', 'streaming']),
  timeout_ms: 1 + whole(random, 9000),
  ...(chance(random, 0.5) && { target_latency_ms: whole(random, 900) }),
  ...(chance(random, 0.5) && { priority: whole(random, 9), max_attempts: 1 + whole(random, 3) }),
  ...(chance(random, 0.5) && {
    session_affinity: chance(random, 0.5),
    resume_streams: chance(random, 0.5),
  }),
  ...(chance(random, 0.5)
    ? { service: pick(random, services) }
    : { traffic_split: splitOf(random, services) }),
  ...strange(random),
});

export const configurationIn = (random: Random): Record<string, unknown> => {
  const names = Array.from({ length: 1 + whole(random, 3) }, (_, at) => `s-${at}`);
  return {
    version: 1 + whole(random, 1000),
    routes: Array.from({ length: whole(random, 8) }, (_, at) => routeIn(random, at, names)),
    services: names.map((name) => ({
      name,
      health_path: '/well',
      connection_limit: whole(random, 500),
      protocol: 'h1',
      transport_security: false,
      engine: {
        slots: 1 + whole(random, 64),
        cache_capacity_tokens: whole(random, 1e6),
        cache_token_bytes: 1024,
        stride: 4,
        models: [{ name: 'm' }],
      },
      ...strange(random),
    })),
    ...(chance(random, 0.7) && {
      limits: {
        max_header_bytes: 16_384,
        max_body_bytes: 1e6,
        header_timeout_ms: 3000,
        idle_timeout_ms: 15_000,
        ...strange(random),
      },
    }),
    ...strange(random),
  };
};
