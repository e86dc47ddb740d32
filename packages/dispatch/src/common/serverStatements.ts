/** The load that a server states in its responses. */
export interface StatedLoad {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
  /** Time that work takes on the server's machine at this moment, relative to the usual one; changes many times a second. */
  readonly workFactor: number;
}

/** What a server states about itself in a response, whatever the response is. */
export interface ServerStatements {
  /** The server is about to stop and wants no new requests. It keeps to this until it ends. */
  readonly isLeaving: boolean;
  /**
   * Requests a second that the server takes from all entry VMs together, for as long as its responses say so; undefined
   * if it names no limit.
   */
  readonly requestsPerSecond: number | undefined;
  /**
   * Time for which the server wants nothing from this entry VM, in milliseconds; undefined unless it turned the request
   * away and named a time.
   */
  readonly pauseMilliseconds: number | undefined;
  /** Undefined unless the server tells its load. */
  readonly load?: StatedLoad | undefined;
  /** For how long the server stays cold, in milliseconds; undefined unless it says so. */
  readonly warmupMilliseconds?: number | undefined;
  /** Statements that were not understood and count as not made, for the log. */
  readonly unreadable: readonly string[];
}

/** The part of a server's statements that concerns its slots. */
export type RateStatement = Pick<ServerStatements, 'requestsPerSecond' | 'load' | 'warmupMilliseconds'>;

/** A statement as it is passed between entry VMs; absent fields were not stated. */
export interface EncodedRateStatement {
  readonly requestsPerSecond?: number | undefined;
  /** Requests running and waiting, slots, and work factor. */
  readonly load?: [number, number, number, number] | undefined;
  readonly warmup?: number | undefined;
}

export function encodeRateStatement({
  requestsPerSecond,
  load,
  warmupMilliseconds,
}: RateStatement): EncodedRateStatement {
  return {
    ...(requestsPerSecond === undefined ? {} : { requestsPerSecond }),
    ...(load === undefined ? {} : { load: [load.running, load.waiting, load.slots, load.workFactor] }),
    ...(warmupMilliseconds === undefined ? {} : { warmup: warmupMilliseconds }),
  };
}

export function decodeRateStatement({
  requestsPerSecond,
  load,
  warmup,
}: EncodedRateStatement): RateStatement {
  if (load === undefined) {
    return { requestsPerSecond, warmupMilliseconds: warmup };
  }
  const [running, waiting, slots, workFactor] = load;
  return { requestsPerSecond, load: { running, waiting, slots, workFactor }, warmupMilliseconds: warmup };
}

/** A response without a statement. */
export const noStatements: ServerStatements = {
  isLeaving: false,
  requestsPerSecond: undefined,
  pauseMilliseconds: undefined,
  load: undefined,
  warmupMilliseconds: undefined,
  unreadable: [],
};
