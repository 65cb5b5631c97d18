import { err, ok, type Result } from 'neverthrow';
import type { Fault } from '../errors/fault.js';
import type { Configuration } from '../model/configuration.js';
import { checkConsistency } from './check-consistency.js';
import { checkReferences } from './check-references.js';
import { readEntries, type SectionEntries } from './read-entries.js';
import type { SourceSet } from './source-set.js';

// Equal sets give equal configurations, whatever the order of files and entries.
function sortByName<T extends { readonly name: string }>({
  values,
}: SectionEntries<T>): readonly T[] {
  return [...values].sort((left, right) => (left.name < right.name ? -1 : 1));
}

/**
 * Checks a set as a whole.
 *
 * @param set - the joined set
 * @param parseFaults - faults found while the set was read
 * @returns the configuration, or all faults at once
 */
export function checkSet(
  set: SourceSet,
  parseFaults: readonly Fault[],
): Result<Configuration, readonly Fault[]> {
  const { entries, faults: entryFaults } = readEntries(set);
  const faults = [
    ...parseFaults,
    ...entryFaults,
    // Names of an unreadable file are missing from the set; every use of them would be a fault.
    ...(set.isComplete ? checkReferences(set, entries) : []),
    ...checkConsistency(set, entries),
  ];
  if (faults.length > 0 || entries.revision === null || entries.seats === null) {
    return err(faults);
  }
  return ok({
    revision: entries.revision,
    seats: entries.seats,
    zones: sortByName(entries.zones),
    services: sortByName(entries.services),
    backendServers: sortByName(entries.backendServers),
    accounts: sortByName(entries.accounts),
    routes: sortByName(entries.routes),
  });
}
