/** A field of an entry in words. */
export interface EntryField {
  readonly field: string;
  readonly value: string;
}

/** An entry of a configuration, for comparison with that of the same name in another version. */
export interface ComparableEntry {
  readonly name: string;
  readonly fields: readonly EntryField[];
}

/** A difference between two versions of a configuration. */
export type EntryDifference =
  | { readonly kind: 'added'; readonly entry: string; readonly fields: readonly EntryField[] }
  | { readonly kind: 'removed'; readonly entry: string }
  | {
      readonly kind: 'changed';
      readonly entry: string;
      readonly field: string;
      /** Undefined if only the other version has the field. */
      readonly before: string | undefined;
      readonly after: string | undefined;
    }
  | {
      /** Requests that another entry gets than before. */
      readonly kind: 'rerouted';
      readonly requests: string;
      readonly before: string;
      /** Undefined if no entry gets them any more. */
      readonly after: string | undefined;
    };

/** Label and text of every field of a type, so that a new field is not left out of comparisons. */
export type FieldFormats<T, Omitted extends keyof T = never> = Readonly<
  Record<Exclude<keyof T, Omitted>, { readonly label: string; readonly format: (entry: T) => string }>
>;

/** Formats the fields of an entry. */
export function formatFields<T, Omitted extends keyof T>(
  entry: T,
  formats: FieldFormats<T, Omitted>,
): readonly EntryField[] {
  const all = Object.values<{ readonly label: string; readonly format: (entry: T) => string }>(formats);
  return all.map(({ label, format }) => ({ field: label, value: format(entry) }));
}

/** Makes names unique by numbering those that occur again. */
export function uniqueNames(names: readonly string[]): readonly string[] {
  const taken = new Set<string>();
  return names.map((name) => {
    let unique = name;
    for (let count = 2; taken.has(unique); count += 1) {
      unique = `${name} (${count.toString()})`;
    }
    taken.add(unique);
    return unique;
  });
}

/** Compares entries by name, which must be unique within each version. The order of entries does not matter. */
export function compareEntries(
  before: readonly ComparableEntry[],
  after: readonly ComparableEntry[],
): readonly EntryDifference[] {
  const earlier = new Map(before.map((entry) => [entry.name, entry]));
  const later = new Map(after.map((entry) => [entry.name, entry]));
  const names = new Set([...earlier.keys(), ...later.keys()]);
  return [...names].flatMap((name): readonly EntryDifference[] => {
    const old = earlier.get(name);
    const current = later.get(name);
    if (old === undefined) {
      return [{ kind: 'added', entry: name, fields: current?.fields ?? [] }];
    }
    return current === undefined ? [{ kind: 'removed', entry: name }] : compareFields(name, old, current);
  });
}

function compareFields(
  name: string,
  before: ComparableEntry,
  after: ComparableEntry,
): readonly EntryDifference[] {
  const earlier = new Map(before.fields.map(({ field, value }) => [field, value]));
  const later = new Map(after.fields.map(({ field, value }) => [field, value]));
  return [...new Set([...earlier.keys(), ...later.keys()])]
    .filter((field) => earlier.get(field) !== later.get(field))
    .map((field) => ({
      kind: 'changed',
      entry: name,
      field,
      before: earlier.get(field),
      after: later.get(field),
    }));
}

/** Describes a difference in words. */
export function describeDifference(difference: EntryDifference): string {
  switch (difference.kind) {
    case 'added': {
      const fields = difference.fields.map(({ field, value }) => `${field} ${value}`).join(', ');
      return `${difference.entry} is added: ${fields}`;
    }
    case 'removed':
      return `${difference.entry} is removed`;
    case 'changed': {
      const { entry, field, before, after } = difference;
      return `${entry}: ${field} changes from ${before ?? 'not set'} to ${after ?? 'not set'}`;
    }
    case 'rerouted': {
      const { requests, before, after } = difference;
      return `requests for ${requests} matched ${before} and now match ${after ?? 'nothing'}`;
    }
  }
}
