/** The platform's object store. Objects are immutable. */
export interface ObjectStore {
  /** Creates an object; an existing object of the same name is kept. @throws PlatformUnavailableError */
  put(name: string, content: string): Promise<void>;

  /** @returns the content, or undefined when the object does not exist. @throws PlatformUnavailableError */
  get(name: string): Promise<string | undefined>;
}
