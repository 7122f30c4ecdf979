/** The services of a router node. */
import { Module, type DynamicModule } from '@nestjs/common';
import { controlProviders } from '../node/control.js';
import { extended, type Extension } from '../node/extension.js';
import { nodeProviders } from '../node/module.js';
import type { Params } from '../params/shape.js';
import { chatProviders } from './chat.js';
import { engineProviders } from './engines.js';
import { forwardProviders } from './forwarding.js';
import { leaseProviders } from './leases.js';
import { RouterNode } from './node.js';

/** Puts the services of a router together. */
@Module({})
export class RouterModule {
  static with(params: Params, { services }: Extension): DynamicModule {
    return {
      module: RouterModule,
      providers: extended(
        [
          ...nodeProviders(params, 'router'),
          ...controlProviders(params),
          ...engineProviders(params),
          ...leaseProviders(params),
          ...chatProviders(params),
          ...forwardProviders(params),
          RouterNode,
        ],
        services,
      ),
    };
  }
}
