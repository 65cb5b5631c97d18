/** Exit codes of the binary and of the other programs in this repository. */
export const exitCodes = {
  success: 0,
  unexpectedError: 1,
  wrongUsage: 2,
  invalidInput: 3,
  cannotStart: 4,
  promiseBroken: 5,
} as const;

/** One of the exit codes. */
export type ExitCode = (typeof exitCodes)[keyof typeof exitCodes];
