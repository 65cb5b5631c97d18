import { readFile } from 'node:fs/promises';

/**
 * Reads the largest resident memory that a process has had.
 *
 * @param pid - identifier of the process
 * @returns the memory in bytes
 */
export async function readPeakMemory(pid: number): Promise<number> {
  const status = await readFile(`/proc/${pid}/status`, 'utf8');
  return Number(/^VmHWM:\s+(\d+) kB$/m.exec(status)?.[1]) * 1024;
}
