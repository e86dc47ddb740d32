import { randomUUID } from 'node:crypto';
import * as z from 'zod';
import { parseDocument } from '@hickoryhoist/base/common/checkedJson.js';
import { HickoryhoistError } from '@hickoryhoist/base/common/errors.js';
import type { Platform } from '@hickoryhoist/store/common/platform.js';
import { PlatformUnavailableError } from '@hickoryhoist/store/common/tableService.js';
import {
  type ConfigurationSnapshot,
  parseSnapshot,
  type VersionedConfiguration,
} from './configurationSnapshot.js';

const CONFIGURATION_ROW = 'configuration';

const configurationRowSchema = z.object({
  /** Revision of the configuration, which counts the accepted publications. */
  revision: z.number().int(),
  objectName: z.string(),
  publicationId: z.string(),
  operator: z.string(),
  /** The last accepted publications, newest first. They show whether a publication was accepted if a response is lost. */
  recentPublications: z.array(z.object({ id: z.string(), revision: z.number().int() })),
});

type ConfigurationRow = z.output<typeof configurationRowSchema>;

const MAXIMUM_RECENT_PUBLICATIONS = 64;

/** Row of the newest configuration, if there is one, with its version in the table. */
export interface ConfigurationHead {
  readonly rowVersion: number;
  readonly row: ConfigurationRow | undefined;
}

/** Result of an attempt to add a revision. */
export type AcceptResult =
  | { readonly kind: 'accepted'; readonly revision: number }
  | { readonly kind: 'conflict'; readonly operator: string };

/** The object store does not return the object that the newest row names: it lost the object, or it lags behind. */
export class MissingSnapshotError extends HickoryhoistError {
  readonly code = 'missing-snapshot';
}

/** Reads the configuration from the platform's table service and object store, and adds revisions to it. */
export class ConfigurationStore {
  readonly #platform: Platform;

  constructor(platform: Platform) {
    this.#platform = platform;
  }

  /** @throws PlatformUnavailableError, InvalidDocumentError */
  async readHead(): Promise<ConfigurationHead> {
    const row = await this.#platform.table.read(CONFIGURATION_ROW);
    return {
      rowVersion: row.version,
      row:
        row.version === 0 ? undefined : parseDocument(CONFIGURATION_ROW, configurationRowSchema, row.value),
    };
  }

  /** @returns undefined if nothing has been published. @throws PlatformUnavailableError, MissingSnapshotError */
  async readNewest(): Promise<VersionedConfiguration | undefined> {
    const head = await this.readHead();
    return head.row === undefined ? undefined : this.readSnapshot(head.row);
  }

  /** @throws PlatformUnavailableError, MissingSnapshotError, InvalidDocumentError */
  async readSnapshot(row: ConfigurationRow): Promise<VersionedConfiguration> {
    const content = await this.#platform.objects.get(row.objectName);
    if (content === undefined) {
      throw new MissingSnapshotError(`object ${row.objectName} does not exist`);
    }
    return { revision: row.revision, snapshot: parseSnapshot(row.objectName, JSON.parse(content)) };
  }

  /**
   * Adds a snapshot as the revision after `head` unless another publication was accepted first. If the response
   * of the table service is lost, reads the row to find out whether the publication was accepted. The same
   * publication is never accepted twice.
   * @throws PlatformUnavailableError if the result is unknown; the publication may have been accepted.
   */
  async accept(
    head: ConfigurationHead,
    snapshot: ConfigurationSnapshot,
    operator: string,
    publicationId: string = randomUUID(),
  ): Promise<AcceptResult> {
    const revision = (head.row?.revision ?? 0) + 1;
    const objectName = `configuration/${revision.toString()}-${publicationId}`;
    await this.#platform.objects.put(objectName, JSON.stringify(snapshot));
    const recentPublications = [
      { id: publicationId, revision },
      ...(head.row?.recentPublications ?? []),
    ].slice(0, MAXIMUM_RECENT_PUBLICATIONS);
    const row: ConfigurationRow = { revision, objectName, publicationId, operator, recentPublications };
    try {
      const result = await this.#platform.table.transact([
        { kind: 'put', key: CONFIGURATION_ROW, expectedVersion: head.rowVersion, value: JSON.stringify(row) },
      ]);
      if (result.kind === 'committed') {
        return { kind: 'accepted', revision };
      }
    } catch (error) {
      if (!(error instanceof PlatformUnavailableError && error.mayHaveApplied)) {
        throw error;
      }
    }
    return this.#findPublication(publicationId);
  }

  async #findPublication(publicationId: string): Promise<AcceptResult> {
    const { row } = await this.readHead();
    const publication = row?.recentPublications.find(({ id }) => id === publicationId);
    if (publication !== undefined) {
      return { kind: 'accepted', revision: publication.revision };
    }
    return { kind: 'conflict', operator: row?.operator ?? 'nobody' };
  }
}
