import { binary, runSafely, subcommands } from 'cmd-ts';
import type { ConfigurationChecker } from '../common/configurationFormat.js';
import { createCheckCommand } from './commands/checkCommand.js';
import { commandErrorExitCode, exitCodes } from './commands/commandErrors.js';
import { confirmLostCommand } from './commands/confirmLostCommand.js';
import { drainCommand } from './commands/drainCommand.js';
import { explainCommand } from './commands/explainCommand.js';
import { publishCommand } from './commands/publishCommand.js';
import { reportCommand } from './commands/reportCommand.js';
import { schemaCommand } from './commands/schemaCommand.js';
import { serveCommand } from './commands/serveCommand.js';
import { statusCommand } from './commands/statusCommand.js';
import { validateCommand } from './commands/validateCommand.js';

/** Runs the command line. @param checkers kinds of configuration that `check` understands. */
export async function runCommandLine(checkers: readonly ConfigurationChecker[]): Promise<void> {
  const application = binary(
    subcommands({
      name: 'hickoryhoist',
      description: 'Router for servers that own keys exclusively',
      cmds: {
        serve: serveCommand,
        publish: publishCommand,
        validate: validateCommand,
        check: createCheckCommand(checkers),
        schema: schemaCommand,
        status: statusCommand,
        drain: drainCommand,
        explain: explainCommand,
        report: reportCommand,
        'confirm-lost': confirmLostCommand,
      },
    }),
  );
  try {
    const result = await runSafely(application, process.argv);
    if (result._tag === 'error') {
      const { message, into } = result.error.config;
      process[into].write(`${message}\n`);
      process.exitCode = into === 'stderr' ? exitCodes.invalidDocument : 0;
    }
  } catch (error) {
    process.exitCode = commandErrorExitCode(error);
  }
}
