import { formatCodeMessage, getResultCode, type CodeName, type Details } from './registry.js';

/** One thing wrong with an input, with its place. */
export interface Fault {
  readonly code: CodeName;
  readonly details: Details;
  /** File name, or another name of the source. */
  readonly source: string;
  /** Line in the file, or path of the field, for example `accounts.paisley.burst`. */
  readonly place: string;
}

/**
 * Formats a fault as one line for people.
 *
 * @param fault - the fault
 * @returns `source: place: [code] message. hint`
 */
export function formatFault(fault: Fault): string {
  const { number, hint } = getResultCode(fault.code);
  const place = fault.place === '' ? '' : ` ${fault.place}:`;
  return `${fault.source}:${place} [${number}] ${formatCodeMessage(fault.code, fault.details)}. ${hint}`;
}
