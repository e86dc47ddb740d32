import { writeFile } from 'node:fs/promises';
import { command, option, optional, restPositionals, string } from 'cmd-ts';
import { buildBurnReport } from '../../common/burnReport.js';
import { formatBurnPage } from '../../common/burnReportPage.js';
import { formatBurnTable } from '../../common/burnReportText.js';
import { type EntryVmStatus, entryVmStatusSchema } from '../../common/entryVmStatus.js';
import { callOperatorPort } from '../operatorClient.js';
import { jsonFlag, printResult } from './sharedArguments.js';

/** Reports the service-level burn over several entry VMs. */
export const reportCommand = command({
  name: 'report',
  description: 'Show how fast each service uses up its error budget, merged over the given entry VMs',
  args: {
    entryVms: restPositionals({
      type: string,
      displayName: 'entry-vm',
      description: 'host:port of the operator ports; 127.0.0.1:9090 when none is given',
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
    const report = buildBurnReport(statuses, missing);
    if (html !== undefined) {
      await writeFile(html, formatBurnPage(report, new Date()));
    }
    printResult(json, report, formatBurnTable(report));
  },
});
