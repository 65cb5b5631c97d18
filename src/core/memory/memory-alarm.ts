/** Use of the memory of a process. */
export interface MemoryUse {
  /** Bytes of objects on the heap. */
  readonly heapBytes: number;
  /** Bytes of buffers outside of the heap. */
  readonly externalBytes: number;
  /** Size of the heap at which the process ends. */
  readonly heapLimitBytes: number;
  /** Memory of the host, above which the process is killed. */
  readonly hostLimitBytes: number;
}

/** Whether the memory of a process is nearly used up. */
export type MemoryAlarm = 'calm' | 'high';

/** Share of a limit from which the use counts as high. */
const HIGH_SHARE = 0.8;

/** Share of each limit below which it counts as calm again; the gap avoids a line for each change. */
const CALM_SHARE = 0.6;

function usedShare(use: MemoryUse): number {
  return Math.max(
    use.heapBytes / use.heapLimitBytes,
    (use.heapBytes + use.externalBytes) / use.hostLimitBytes,
  );
}

/**
 * Decides whether the memory counts as nearly used up.
 *
 * @param before - the alarm so far
 * @param use - use of the memory now
 * @returns the alarm from now on
 */
export function updateMemoryAlarm(before: MemoryAlarm, use: MemoryUse): MemoryAlarm {
  const share = usedShare(use);
  switch (before) {
    case 'calm':
      return share >= HIGH_SHARE ? 'high' : 'calm';
    case 'high':
      return share < CALM_SHARE ? 'calm' : 'high';
  }
}
