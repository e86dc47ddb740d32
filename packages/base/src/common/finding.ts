/**
 * What is wrong with an entry of a configuration.
 * `invalid`: the processes refuse it. `never-matches`: no request reaches it. `no-target`: its requests cannot be
 * served. `contradiction`: it states something that cannot hold together with the rest. `ambiguous`: it can be read in
 * two ways.
 */
export type FindingKind = 'invalid' | 'never-matches' | 'no-target' | 'contradiction' | 'ambiguous';

/** Something that an operator should know about a configuration before it is sent. */
export interface Finding {
  readonly kind: FindingKind;
  /** Entry or field in question. */
  readonly place: string;
  readonly message: string;
}
