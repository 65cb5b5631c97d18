/**
 * Writes an error that ends the process as plain text, for the time before its log is open.
 *
 * @param error - the error
 */
export function printFailure({ message, stack }: Error): void {
  // The number of `processFailed`; the registry of the result codes is not loaded yet.
  process.stdout.write(`[4222] ${stack ?? message}\n`);
}
