import { once } from 'node:events';
import type { Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { ResultAsync } from 'neverthrow';
import type { Fault } from '../core/errors/fault.js';
import type { Address } from '../core/settings/settings.js';

async function startListening(server: Server, { host, port }: Address): Promise<number> {
  server.listen(port, host);
  await once(server, 'listening');
  return (server.address() as AddressInfo).port;
}

/**
 * Binds a server to an address and listens.
 *
 * @param server - the server
 * @param address - the address; port 0 lets the system choose a free port
 * @returns the port in use, or a fault that names the address
 */
export function listen(server: Server, address: Address): ResultAsync<number, Fault> {
  const text = `${address.host}:${address.port}`;
  return ResultAsync.fromPromise(startListening(server, address), (error): Fault => {
    const reason = error instanceof Error ? error.message : String(error);
    return {
      code: 'addressInUse',
      details: { address: text, reason },
      source: 'settings',
      place: text,
    };
  });
}
