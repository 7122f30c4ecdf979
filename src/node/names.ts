/** The names by which the services of a process find each other. */
export const names = {
  params: 'params', clock: 'kernel.clock', net: 'kernel.net', random: 'kernel.random', log: 'kernel.log', disk: 'kernel.disk',
  stop: 'node.stop', self: 'node.self', peers: 'wire.peers', roster: 'register.roster', proposer: 'register.proposer', member: 'register.member', grants: 'lease.grants',
  inForce: 'doorway.inForce', view: 'view.view', news: 'pool.news', listSource: 'pool.listSource', channels: 'pool.channels', soundness: 'pool.soundness', prefixes: 'index.prefixes',
  chooser: 'place.chooser', standing: 'lease.standing', vows: 'lease.vows', acceptance: 'lease.acceptance', journal: 'passage.journal', passage: 'passage.passage', claims: 'claim.claims', keeper: 'claim.keeper', operations: 'api.operations',
  configurator: 'api.configurator', forwarder: 'forward.forwarder', links: 'forward.links', placer: 'place.placer', dialect: 'forward.dialect', schema: 'api.schema', status: 'node.status', tracing: 'trace.tracing', metrics: 'node.metrics', keys: 'node.keys',
} as const;
