/** A request for a slot of a server. Times are milliseconds on the scheduler's clock. */
export interface SlotRequest {
  readonly id: string;
  /** The server that owns the key; undefined if any server of the service can run the request. */
  readonly serverId: string | undefined;
  /** The key, if the server was asked for because it owns it. Absent in requests of older versions. */
  readonly key?: number | undefined;
  /** Servers on which an attempt of this request failed. */
  readonly excludedIds: readonly string[];
  readonly availabilityZone: string;
  readonly rank: number;
  readonly bodyBytes: number;
  /** Expected size of the response in bytes, if it matters to the choice of the server. */
  readonly responseBytes?: number | undefined;
  readonly goalAt: number;
  readonly deadlineAt: number;
}
