import { err, ok, type Result } from 'neverthrow';
import type { Fault } from '../errors/fault.js';
import type { Configuration } from '../model/configuration.js';
import { checkConsistency } from './check-consistency.js';
import { checkReferences } from './check-references.js';
import { readEntries, type SectionEntries } from './read-entries.js';
import type { SourceSet } from './source-set.js';

// Sorting makes the configuration independent of the order of files and entries.
function sortByName<T extends { readonly name: string }>({
  values,
}: SectionEntries<T>): readonly T[] {
  return [...values].sort((left, right) => (left.name < right.name ? -1 : 1));
}

/**
 * Checks the entries of a set, each by itself and against the others.
 *
 * @param set - the set as parsed
 * @param parseFaults - faults found while the set was parsed
 * @returns the configuration, or all faults found
 */
export function checkSet(
  set: SourceSet,
  parseFaults: readonly Fault[],
): Result<Configuration, readonly Fault[]> {
  const { entries, faults: entryFaults } = readEntries(set);
  const faults = [
    ...parseFaults,
    ...entryFaults,
    // Names defined in an unreadable file are missing from the set, so each reference to them would
    // be reported as a fault.
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
