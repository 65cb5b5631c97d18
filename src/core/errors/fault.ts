import { formatCodeMessage, getResultCode, type CodeName, type Details } from './registry.js';

/** An error found in an input, such as a settings file, and where it was found. */
export interface Fault {
  readonly code: CodeName;
  readonly details: Details;
  /** Name of the file or of another input, such as `standard input`. */
  readonly source: string;
  /** Line in the file, or path of the field, for example `accounts.paisley.burst`; may be empty. */
  readonly place: string;
}

/**
 * Formats a fault as one line of text.
 *
 * @param fault - the fault
 * @returns `source: place: [code] message. hint`
 */
export function formatFault(fault: Fault): string {
  const { number, hint } = getResultCode(fault.code);
  const place = fault.place === '' ? '' : ` ${fault.place}:`;
  return `${fault.source}:${place} [${number}] ${formatCodeMessage(fault.code, fault.details)}. ${hint}`;
}
