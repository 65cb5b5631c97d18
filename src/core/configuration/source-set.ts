import type { Place } from '../toml/read-table.js';

/** Tables of the operators' file set, each with one entry per name. */
export const SECTIONS = ['zones', 'services', 'backend_servers', 'accounts', 'routes'] as const;

/** Name of a table of the operators' file set. */
export type Section = (typeof SECTIONS)[number];

/** A value that has not been checked yet, with its place. */
export interface SourceValue {
  readonly place: Place;
  readonly value: unknown;
}

/** An entry of a section that has not been checked yet. */
export interface SourceEntry extends SourceValue {
  readonly section: Section;
  readonly name: string;
}

/** All values of one set, from files or from a document, before the check. */
export interface SourceSet {
  /** Every occurrence of the revision; exactly one is expected. */
  readonly revisions: readonly SourceValue[];
  /** Every occurrence of the list of seats; exactly one is expected. */
  readonly seats: readonly SourceValue[];
  readonly entries: readonly SourceEntry[];
  /** False when a file or a section could not be read, so that its names are unknown. */
  readonly isComplete: boolean;
}
