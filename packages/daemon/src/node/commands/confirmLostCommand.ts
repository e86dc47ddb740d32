import { command, option, string } from 'cmd-ts';
import * as z from 'zod';
import { callOperatorPort } from '../operatorClient.js';
import { jsonFlag, operatorAddressOption, printResult } from './sharedArguments.js';

const replySchema = z.object({ groups: z.array(z.string()) });

/** Confirms that a process of an entry VM has terminated for good. */
export const confirmLostCommand = command({
  name: 'confirm-lost',
  description:
    'Confirm that a process of an entry VM has terminated for good, so that key transfers that wait for its ' +
    'confirmation can proceed. Wrong use can give a key two owners: make sure that the process cannot run any more',
  args: {
    entryVm: operatorAddressOption,
    id: option({ type: string, long: 'id', description: 'identifier of the lost entry VM' }),
    incarnation: option({
      type: string,
      long: 'incarnation',
      description: 'incarnation of the lost process',
    }),
    json: jsonFlag,
  },
  handler: async ({ entryVm, id, incarnation, json }) => {
    const body = { entryVmId: id, incarnation };
    const reply = await callOperatorPort(entryVm, 'POST', '/confirm-lost', body, replySchema);
    const text =
      reply.groups.length === 0
        ? 'no key transfer waited for it here'
        : `key transfers proceed in ${reply.groups.join(', ')}`;
    printResult(json, reply, text);
  },
});
