import { createHmac } from 'node:crypto';
import { isEqualSecret } from '../model/equal-secret.js';
import type { RequestId } from '../model/names.js';

/**
 * Issues and verifies the handles that identify a running call. The key is generated at the start
 * of the process and never leaves it, so a handle of another node or of an earlier process is
 * refused.
 */
export class ContextHandles {
  readonly #key: Uint8Array;

  /**
   * @param key - random key of this process
   */
  constructor(key: Uint8Array) {
    this.#key = key;
  }

  /**
   * Issues the handle of a running call.
   *
   * @param rootId - identifier of the root request
   * @param runId - identifier of the running call
   * @returns value of the `almondhoist-context` header
   */
  issue(rootId: RequestId, runId: RequestId): string {
    return `${rootId}~${runId}~${this.#sign(rootId, runId)}`;
  }

  /**
   * Verifies a handle.
   *
   * @param handle - value of the header
   * @returns identifier of the running call, or null when this process did not issue the handle
   */
  verify(handle: string): RequestId | null {
    const [rootId, runId, mac, ...rest] = handle.split('~');
    if (rootId === undefined || runId === undefined || mac === undefined) return null;
    return rest.length === 0 && isEqualSecret(mac, this.#sign(rootId, runId)) ? runId : null;
  }

  #sign(rootId: RequestId, runId: RequestId): string {
    return createHmac('sha256', this.#key).update(`${rootId}~${runId}`).digest('base64url');
  }
}
