/** The operators' face: every call is POST /rpc/CALL, its body checked against the schema file both firms check in. */
import { Body, Controller, Headers, Inject, Param, Post, Res } from '@nestjs/common';
import type { FastifyReply } from 'fastify';
import { Right } from 'purify-ts';
import type { ConfigurationCalls } from '../../api/configuration.js';
import type { Operations, Operator } from '../../api/operations.js';
import type { SchemaCheck, Schemas } from '../../api/schema.js';
import { failed, reasonOf, type Fault, type Outcome } from '../../kernel/fault/fault.js';
import type { Keys } from '../../node/keys.js';
import { names } from '../../node/names.js';

type Run = (operator: Operator, body: unknown) => Promise<Outcome<unknown>>;

@Controller('rpc')
export class OperatorsController {
  private readonly calls: ReadonlyMap<string, Run>;

  constructor(
    @Inject(names.operations) operations: Operations,
    @Inject(names.configurator) routes: ConfigurationCalls,
    @Inject(names.schema) schema: SchemaCheck,
    @Inject(names.keys) private readonly keys: Keys,
  ) {
    const checked =
      <K extends keyof Schemas>(
        name: K,
        act: (ask: Schemas[K], operator: Operator) => Promise<Outcome<unknown>> | Outcome<unknown>,
      ): Run =>
      async (operator, body) => {
        const ask = schema.check(name, body);
        return ask.isLeft() ? ask : act(ask.unsafeCoerce(), operator);
      };
    this.calls = new Map<string, Run>([
      [
        'doorway.set',
        checked('DoorwaySetAsk', (ask, operator) => operations.setDoorway(operator, ask)),
      ],
      [
        'doorway.remove',
        checked('DoorwayRemoveAsk', (ask, operator) => operations.removeDoorway(operator, ask)),
      ],
      [
        'doorway.apply',
        checked('DoorwayApplyAsk', (ask, operator) => operations.applyDoorways(operator, ask)),
      ],
      [
        'doorway.claim',
        checked('DoorwayClaimAsk', (ask, operator) => operations.claimDoorway(operator, ask)),
      ],
      ['doorway.get', checked('NamedAsk', ({ name }) => operations.get(name))],
      ['doorway.list', checked('NothingAsk', () => operations.list())],
      ['change.outcome', checked('ChangeAsk', (ask) => operations.outcome(ask))],
      ['config.at', checked('AtAsk', ({ revision }) => operations.at(revision))],
      ['config.history', checked('HistoryAsk', (ask) => operations.history(ask))],
      ['change.trace', checked('TraceAsk', (ask) => operations.trace(ask))],
      [
        'routes.put',
        checked('RoutesPutAsk', async ({ configuration, expects, wait }) =>
          Right(await routes.replace(configuration, expects, wait)),
        ),
      ],
      [
        'routes.patch',
        checked('RoutesPatchAsk', async ({ patch, expects, wait }) =>
          Right(await routes.patch(patch, expects, wait)),
        ),
      ],
      [
        'routes.show',
        checked('RoutesShowAsk', async ({ wait }) =>
          (await routes.read(wait)).map((configuration) => ({ configuration })),
        ),
      ],
      ['node.list', checked('NothingAsk', () => operations.nodes())],
      [
        'node.deregister',
        checked('DeregisterAsk', (ask, operator) => operations.deregister(operator, ask)),
      ],
      ['engine.list', checked('NothingAsk', () => operations.engines())],
      ['core.form', checked('FormAsk', ({ members }) => operations.form(members))],
      [
        'core.addVoter',
        checked('AddVoterAsk', (ask, operator) => operations.addVoter(operator, ask)),
      ],
      [
        'core.removeVoter',
        checked('RemoveVoterAsk', (ask, operator) => operations.removeVoter(operator, ask)),
      ],
      ['core.show', checked('NothingAsk', () => operations.core())],
    ]);
  }

  @Post(':call')
  async run(
    @Param('call') call: string,
    @Headers('x-operator-key') key: string | undefined,
    @Body() body: unknown,
    @Res() reply: FastifyReply,
  ): Promise<void> {
    const operator = key === undefined ? undefined : this.keys.operator(key);
    const run = this.calls.get(call);
    if (!operator)
      return this.answer(
        reply,
        401,
        failed('operator.key', 'operator', 'the key is missing or not known'),
      );
    if (!run)
      return this.answer(
        reply,
        404,
        failed('operator.call', 'operator', `there is no call ${call}`),
      );
    const done = await run(operator, body ?? {}).catch((thrown: unknown) =>
      failed('operator.call', call, reasonOf(thrown), 'unknown'),
    );
    this.answer(reply, 422, done);
  }

  private answer(reply: FastifyReply, status: number, outcome: Outcome<unknown>): void {
    outcome.caseOf({
      Right: (value) => void reply.status(200).send(value),
      Left: ({ step, peer, reason, certainty }: Fault) =>
        void reply
          .status(certainty === 'unknown' ? 504 : status)
          .send({ outcome: certainty, step, peer, reason }),
    });
  }
}
