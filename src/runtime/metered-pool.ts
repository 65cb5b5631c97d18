import { Pool } from 'undici';
import { openMeteredClient, type MeteredClientOptions } from './metered-client.js';

/**
 * Opens a pool of HTTP clients, each with one connection that carries one request at a time.
 *
 * @param url - base URL of the server
 * @param connections - largest number of connections; null for any number
 * @param options - limits of its answers, and the pacer
 * @returns the pool
 */
export function openMeteredPool(
  url: string,
  connections: number | null,
  options: MeteredClientOptions,
): Pool {
  return new Pool(url, {
    connections,
    factory: (origin) => openMeteredClient(origin, options).client,
  });
}
