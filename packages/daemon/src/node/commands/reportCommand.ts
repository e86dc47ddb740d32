import { writeFile } from 'node:fs/promises';
import { command, option, optional, restPositionals, string } from 'cmd-ts';
import { buildBurnRateReport } from '../../common/burnRateReport.js';
import { formatBurnRatePage } from '../../common/burnRatePage.js';
import { formatBurnRateTable } from '../../common/burnRateTable.js';
import { type EntryVmStatus, entryVmStatusSchema } from '../../common/entryVmStatus.js';
import { callOperatorPort } from '../operatorClient.js';
import { jsonFlag, printResult } from './sharedArguments.js';

/** Reports the burn rates of error budgets over several entry VMs. */
export const reportCommand = command({
  name: 'report',
  description: 'Show the burn rate of the error budget of each service, merged over the given entry VMs',
  args: {
    entryVms: restPositionals({
      type: string,
      displayName: 'entry-vm',
      description: 'host:port of each operator port; default 127.0.0.1:9090',
    }),
    html: option({
      type: optional(string),
      long: 'html',
      description: 'also write a page with plots to this file',
    }),
    json: jsonFlag,
  },
  handler: async ({ entryVms, html, json }) => {
    const addresses = entryVms.length === 0 ? ['127.0.0.1:9090'] : entryVms;
    const statuses: EntryVmStatus[] = [];
    const missing: string[] = [];
    for (const address of addresses) {
      try {
        statuses.push(await callOperatorPort(address, 'GET', '/status', undefined, entryVmStatusSchema));
      } catch {
        missing.push(address);
      }
    }
    const report = buildBurnRateReport(statuses, missing);
    if (html !== undefined) {
      await writeFile(html, formatBurnRatePage(report, new Date()));
    }
    printResult(json, report, formatBurnRateTable(report));
  },
});
