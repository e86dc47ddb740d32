/** Limits on the bytes that servers may send. Beyond one, the connection is closed and the attempt is lost. */
export interface ResponseLimits {
  /**
   * Maximum bytes of one response before its body: blank lines, interim responses, status line and headers.
   * Chunk sizes, chunk extensions and trailers count as well.
   */
  readonly maxHeadBytes: number;
  /** Maximum bytes of the body of one response. */
  readonly maxBodyBytes: number;
  /** Maximum bytes of all incomplete response bodies together. */
  readonly maxBufferedBytes: number;
}

const KIBIBYTE = 1_024;
const MEBIBYTE = 1_024 * KIBIBYTE;

/** Limits that leave room for other work in a process with 210 MB, the smallest VM of the users' platform. */
export const defaultResponseLimits: ResponseLimits = {
  maxHeadBytes: 16 * KIBIBYTE,
  maxBodyBytes: 8 * MEBIBYTE,
  maxBufferedBytes: 16 * MEBIBYTE,
};
