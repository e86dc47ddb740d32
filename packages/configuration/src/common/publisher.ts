import { randomUUID } from 'node:crypto';
import { HickoryhoistError } from '@hickoryhoist/base/common/errors.js';
import { buildSnapshot, type ConfigurationSnapshot } from './configurationSnapshot.js';
import type { ConfigurationStore } from './configurationStore.js';
import type { ServiceFile } from './serviceFile.js';

const MAXIMUM_REBASES = 10;

/** A change of one service, relative to the content that the operator read before. */
export interface ServiceChange {
  readonly name: string;
  readonly before: ServiceFile | undefined;
  readonly after: ServiceFile | undefined;
}

/** Changes that an operator publishes together. */
export interface Publication {
  readonly operator: string;
  readonly changes: readonly ServiceChange[];
}

/** Another operator changed the same services first. No change of the publication was accepted. */
export class PublicationConflictError extends HickoryhoistError {
  readonly code = 'publication-conflict';
  readonly services: readonly string[];
  readonly operator: string;

  constructor(services: readonly string[], operator: string) {
    super(
      `${services.join(', ')} changed in the meantime, last by ${operator}; read the newest files and publish again`,
    );
    this.services = services;
    this.operator = operator;
  }
}

/**
 * Publishes changes of services. They are rebased on concurrent changes of other services, and rejected if another
 * publication has changed the same services.
 */
export class Publisher {
  readonly #store: ConfigurationStore;

  constructor(store: ConfigurationStore) {
    this.#store = store;
  }

  /**
   * @returns the revision that contains the changes, once it is durable.
   * @throws PublicationConflictError, InvalidDocumentError, PlatformUnavailableError
   */
  async publish(publication: Publication, publicationId: string = randomUUID()): Promise<number> {
    let lastOperator = 'nobody';
    for (let attempt = 0; attempt < MAXIMUM_REBASES; attempt += 1) {
      const head = await this.#store.readHead();
      const earlier = head.row?.recentPublications.find(({ id }) => id === publicationId);
      if (earlier !== undefined) {
        return earlier.revision;
      }
      const current = head.row === undefined ? undefined : await this.#store.readSnapshot(head.row);
      const snapshot = applyChanges(current?.snapshot, publication.changes, head.row?.operator ?? 'nobody');
      const result = await this.#store.accept(head, snapshot, publication.operator, publicationId);
      switch (result.kind) {
        case 'accepted':
          return result.revision;
        case 'conflict':
          lastOperator = result.operator;
      }
    }
    throw new PublicationConflictError(
      publication.changes.map(({ name }) => name),
      lastOperator,
    );
  }
}

function applyChanges(
  current: ConfigurationSnapshot | undefined,
  changes: readonly ServiceChange[],
  operator: string,
): ConfigurationSnapshot {
  const services = new Map(current?.services.map((service) => [service.name, service]));
  const conflicts = changes.filter(({ name, before }) => !isSameContent(services.get(name), before));
  if (conflicts.length > 0) {
    throw new PublicationConflictError(
      conflicts.map(({ name }) => name),
      operator,
    );
  }
  for (const { name, after } of changes) {
    if (after === undefined) {
      services.delete(name);
    } else {
      services.set(name, after);
    }
  }
  return buildSnapshot([...services.values()]);
}

function isSameContent(left: ServiceFile | undefined, right: ServiceFile | undefined): boolean {
  return JSON.stringify(left) === JSON.stringify(right);
}
