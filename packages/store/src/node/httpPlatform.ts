import { Pool } from 'undici';
import type { z } from 'zod';
import { parseDocument } from '@hickoryhoist/base/common/checkedJson.js';
import { type Disposable } from '@hickoryhoist/base/common/disposable.js';
import { describeError } from '@hickoryhoist/base/common/errors.js';
import type { Logger } from '@hickoryhoist/base/common/logger.js';
import { requestText } from '@hickoryhoist/base/node/textRequest.js';
import type { ObjectStore } from '../common/objectStore.js';
import type { Platform } from '../common/platform.js';
import {
  emptySchema,
  objectContentSchema,
  tableRowSchema,
  transactionResultSchema,
  virtualMachineListSchema,
  virtualMachineSchema,
} from '../common/platformMessages.js';
import {
  PlatformUnavailableError,
  type TableOperation,
  type TableRow,
  type TableService,
  type TransactionResult,
} from '../common/tableService.js';
import type { VirtualMachine, VirtualMachineList } from '../common/virtualMachineList.js';

const REQUEST_TIMEOUT_MILLISECONDS = 2_000;
const MAXIMUM_CONNECTIONS = 8;

/** Client of the platform's HTTP interface. */
export class HttpPlatform implements Platform, Disposable {
  readonly #origin: string;
  readonly #pool: Pool;

  readonly table: TableService;
  readonly objects: ObjectStore;
  readonly virtualMachines: VirtualMachineList;

  readonly #logger: Logger;

  /** @param address `host:port` of the platform. */
  constructor(address: string, logger: Logger) {
    this.#logger = logger;
    this.#origin = `http://${address}`;
    this.#pool = new Pool(this.#origin, {
      connections: MAXIMUM_CONNECTIONS,
      connectTimeout: REQUEST_TIMEOUT_MILLISECONDS,
    });
    this.table = {
      read: (key) => this.#call('/table/read', { key }, tableRowSchema, false) satisfies Promise<TableRow>,
      transact: (operations: readonly TableOperation[]): Promise<TransactionResult> =>
        this.#call('/table/transact', { operations }, transactionResultSchema, true),
    };
    this.objects = {
      put: async (name, content) => {
        await this.#call('/objects/put', { name, content }, emptySchema, true);
      },
      get: async (name) => (await this.#call('/objects/get', { name }, objectContentSchema, false)).content,
    };
    this.virtualMachines = {
      list: async (): Promise<readonly VirtualMachine[]> => {
        const { machines } = await this.#call('/machines/list', {}, virtualMachineListSchema, false);
        return machines.flatMap((machine) => this.#decodeMachine(machine) ?? []);
      },
    };
  }

  dispose(): void {
    void this.#pool.destroy();
  }

  /** @returns undefined for a machine that cannot be read; the others of the list hold. */
  #decodeMachine(document: unknown): VirtualMachine | undefined {
    const { data, error } = virtualMachineSchema.safeParse(document);
    if (error !== undefined) {
      this.#logger.log('warn', 'machine-unreadable', { reason: describeError(error) });
    }
    return data;
  }

  async #call<S extends z.ZodType>(
    path: string,
    message: object,
    schema: S,
    isWrite: boolean,
  ): Promise<z.output<S>> {
    try {
      const { status, text } = await requestText(this.#pool, {
        origin: this.#origin,
        method: 'POST',
        path,
        headers: { 'content-type': 'application/json' },
        body: JSON.stringify(message),
        timeoutMilliseconds: REQUEST_TIMEOUT_MILLISECONDS,
      });
      if (status !== 200) {
        throw new PlatformUnavailableError(`status ${status.toString()}`, isWrite);
      }
      return parseDocument(`response of ${path}`, schema, text);
    } catch (error) {
      throw new PlatformUnavailableError(`${path}: ${describeError(error)}`, isWrite, { cause: error });
    }
  }
}
