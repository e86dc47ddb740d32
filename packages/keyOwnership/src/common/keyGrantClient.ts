/** The server that an order is meant for. */
export interface ServerEndpoint {
  readonly serverId: string;
  readonly address: string;
}

/** Gives a server the right to run requests on keys, for a time that counts from the order's arrival. */
export interface KeyGrant {
  readonly from: number;
  readonly to: number;
  readonly fence: number;
  readonly durationMilliseconds: number;
  /** What the previous owner handed over, so that the new one does not start cold. */
  readonly handover: string | undefined;
}

/** Keys that a server shall give up. */
export interface KeyRelease {
  readonly from: number;
  readonly to: number;
  readonly fence: number;
}

/** What became of a grant. */
export type GrantResult =
  | { readonly kind: 'granted' }
  /** The server has seen a higher fence on one of the keys. */
  | { readonly kind: 'fenced' }
  /** The server answered and did not take the grant. */
  | { readonly kind: 'rejected'; readonly status: number }
  /** No byte of the order was sent. */
  | { readonly kind: 'not-sent'; readonly reason: string }
  /** The order may have arrived, at the latest when this result was returned, and may be carried out late. */
  | { readonly kind: 'in-doubt'; readonly reason: string };

/** What became of a release. */
export type ReleaseResult =
  /** No request on the keys is running any more, and none will until they are granted again. */
  | { readonly kind: 'released'; readonly handover: string | undefined }
  | { readonly kind: 'failed'; readonly reason: string };

/** Sends orders on keys to servers. */
export interface KeyGrantClient {
  /** @param mayStillSend asked directly before the first byte is written; when it says no, nothing is sent. */
  grant(
    target: ServerEndpoint,
    grant: KeyGrant,
    timeoutMilliseconds: number,
    mayStillSend: () => boolean,
  ): Promise<GrantResult>;
  release(target: ServerEndpoint, release: KeyRelease, timeoutMilliseconds: number): Promise<ReleaseResult>;
}
