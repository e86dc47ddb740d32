import type { ServerProtocol } from '@hickoryhoist/dispatch/common/serverCall.js';
import type { ServerRecord } from '@hickoryhoist/dispatch/common/serverRecord.js';
import type { KeyGrantClient } from '@hickoryhoist/keyownership/common/keyGrantClient.js';
import type { RouteConfiguration } from '@hickoryhoist/routing/common/routeConfiguration.js';
import type { RowStore } from '@hickoryhoist/store/common/rowStore.js';
import type { CallerProtocol } from './callerProtocol.js';

/** Everything that an entry VM needs from the platform that it runs on. */
export interface PlatformBinding {
  readonly store: RowStore;
  readonly grantClient: KeyGrantClient;
  readonly serverProtocol: ServerProtocol;
  readonly callerProtocol: CallerProtocol;
  /** Table of servers: each announces itself with a row whose key is its ID. */
  readonly serversTable: string;
  /** Location of the configuration's row. */
  readonly configurationTable: string;
  readonly configurationKey: string;
  /** @throws InvalidDocumentError */
  decodeServer(id: string, value: string): ServerRecord;
  /** @throws InvalidDocumentError */
  decodeConfiguration(value: string): RouteConfiguration;
  /**
   * Decodes a row of the configuration's table that asks for the evacuation of an availability zone.
   * @returns the zone, or undefined for a row of another kind.
   * @throws InvalidDocumentError
   */
  decodeZoneEvacuation(key: string, value: string): string | undefined;
}
