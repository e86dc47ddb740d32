/** Address of a server that commands are sent to. */
export interface ServerEndpoint {
  readonly serverId: string;
  readonly address: string;
}

/** Command that grants or renews the lease of a key range. */
export interface KeyGrant {
  readonly from: number;
  readonly to: number;
  readonly fence: number;
  /** Duration of the lease, counted from the arrival of the command. */
  readonly durationMilliseconds: number;
  /** Handover of the previous owner, which lets the new owner start warm. */
  readonly handover: string | undefined;
}

/** Command to release a key range. */
export interface KeyRelease {
  readonly from: number;
  readonly to: number;
  readonly fence: number;
}

/** Result of a grant. */
export type GrantResult =
  | { readonly kind: 'granted' }
  /** The server has seen a higher fence on one of the keys. */
  | { readonly kind: 'fenced' }
  /** The server responded with an error status. */
  | { readonly kind: 'rejected'; readonly status: number }
  /** No byte of the command was sent. */
  | { readonly kind: 'not-sent'; readonly reason: string }
  /** The command may have arrived, at the latest when this result was returned, and the server may apply it later. */
  | { readonly kind: 'in-doubt'; readonly reason: string };

/** Result of a release. */
export type ReleaseResult =
  /** No request on the keys is in flight, and none will start until the keys are granted again. */
  | { readonly kind: 'released'; readonly handover: string | undefined }
  | { readonly kind: 'failed'; readonly reason: string };

/** Sends grant and release commands to servers. */
export interface KeyGrantClient {
  /** @param mayStillSend checked immediately before the first byte is written; nothing is sent if it returns false. */
  grant(
    target: ServerEndpoint,
    grant: KeyGrant,
    timeoutMilliseconds: number,
    mayStillSend: () => boolean,
  ): Promise<GrantResult>;
  release(target: ServerEndpoint, release: KeyRelease, timeoutMilliseconds: number): Promise<ReleaseResult>;
}
