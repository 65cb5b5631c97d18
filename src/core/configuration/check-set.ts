import { err, ok, type Result } from 'neverthrow';
import type { Fault } from '../errors/fault.js';
import type { Configuration } from '../model/configuration.js';
import { consistencyFaults } from './check-consistency.js';
import { referenceFaults } from './check-references.js';
import { readEntries, type Placed } from './read-entries.js';
import type { SourceSet } from './source-set.js';

// Equal sets give equal configurations, whatever the order of files and entries.
function sorted<T extends { readonly name: string }>(placed: readonly Placed<T>[]): readonly T[] {
  return placed.map(({ value }) => value).sort((left, right) => (left.name < right.name ? -1 : 1));
}

/**
 * Checks a set as a whole.
 *
 * @param set - the joined set
 * @param earlier - faults found while the set was read
 * @returns the configuration, or all faults at once
 */
export function checkSet(
  set: SourceSet,
  earlier: readonly Fault[],
): Result<Configuration, readonly Fault[]> {
  const { entries, faults: entryFaults } = readEntries(set);
  const faults = [
    ...earlier,
    ...entryFaults,
    // Names of an unreadable file are missing from the set; every use of them would be a fault.
    ...(set.isComplete ? referenceFaults(set, entries) : []),
    ...consistencyFaults(set, entries),
  ];
  if (faults.length > 0 || entries.revision === null || entries.seats === null) {
    return err(faults);
  }
  return ok({
    revision: entries.revision.value,
    seats: entries.seats.value,
    zones: sorted(entries.zones),
    services: sorted(entries.services),
    backendServers: sorted(entries.backendServers),
    accounts: sorted(entries.accounts),
    routes: sorted(entries.routes),
  });
}
