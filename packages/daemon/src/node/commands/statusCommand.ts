import { command } from 'cmd-ts';
import { type EntryVmStatus, entryVmStatusSchema, type GroupStatus } from '../../common/entryVmStatus.js';
import { callOperatorPort } from '../operatorClient.js';
import { jsonFlag, operatorAddressOption, printResult } from './sharedArguments.js';

/** Shows the owners of keys and what pending key transfers wait for. */
export const statusCommand = command({
  name: 'status',
  description: 'Show owners, terms, renewers and pending key transfers from the view of one entry VM',
  args: { entryVm: operatorAddressOption, json: jsonFlag },
  handler: async ({ entryVm, json }) => {
    const status = await callOperatorPort(entryVm, 'GET', '/status', undefined, entryVmStatusSchema);
    printResult(json, status, formatStatus(status));
  },
});

function formatStatus(status: EntryVmStatus): string {
  const head = `entry VM ${status.id} in ${status.availabilityZone}: ${status.isReady ? 'ready' : 'not ready'}`;
  const configuration = `configuration revision ${status.configurationRevision.toString()}`;
  return [`${head}, ${configuration}`, ...status.groups.flatMap(formatGroup)].join('\n');
}

function formatGroup(group: GroupStatus): readonly string[] {
  const store = group.isStoreReachable ? 'store reachable' : 'store not reachable';
  const assigner = group.hearsAssigner ? `assigner ${group.assigner}` : 'no assigner reachable';
  const head = `${group.group}: revision ${group.revision.toString()}, term ${group.term.toString()}, ${assigner}, ${store}`;
  const servers = group.servers.map((server) => {
    const waiting =
      server.waitingFor.length === 0 ? '' : `, waits for confirmation by ${server.waitingFor.join(', ')}`;
    const releasing = server.releasing === 0 ? '' : `, ${server.releasing.toString()} in transfer`;
    const renewers = server.renewers.join(' and ');
    return `  ${server.address} ${server.phase}, owns ${server.ownedUnits.toString()}${releasing}, renewed by ${renewers}${waiting}`;
  });
  return [head, ...servers];
}
