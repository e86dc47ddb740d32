/** A `leaving` server finishes its requests in flight and gets no new ones. */
export type ServerPhase = 'ready' | 'leaving';

/** A backend server as announced in its registration. */
export interface ServerRecord {
  readonly id: string;
  /** Start time of the server process in milliseconds since 1970; it identifies the incarnation. */
  readonly incarnation: number;
  readonly service: string;
  readonly address: string;
  readonly availabilityZone: string;
  /** Number of requests that the server runs concurrently. */
  readonly slots: number;
  readonly phase: ServerPhase;
  /** Warm-up time during which the server is slow, in milliseconds from its registration. */
  readonly warmupMilliseconds: number;
}
