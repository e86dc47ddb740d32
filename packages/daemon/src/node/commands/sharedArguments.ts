import { flag, option, string } from 'cmd-ts';

/** Address of the platform, for the commands that write to it. */
export const platformOption = option({
  type: string,
  long: 'platform',
  description: 'host:port of the platform',
});

/** Address of an entry VM's operator port. */
export const operatorAddressOption = option({
  type: string,
  long: 'entry-vm',
  description: 'host:port of the operator port of an entry VM',
  defaultValue: () => '127.0.0.1:9090',
});

export const jsonFlag = flag({ long: 'json', description: 'print JSON for scripts' });

/** Prints a result either as JSON or as text. */
export function printResult(isJson: boolean, value: unknown, text: string): void {
  process.stdout.write(`${isJson ? JSON.stringify(value) : text}\n`);
}
