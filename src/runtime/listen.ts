import { once } from 'node:events';
import type { AddressInfo, Server } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { ResultAsync } from 'neverthrow';
import type { Fault } from '../core/errors/fault.js';
import type { Milliseconds } from '../core/model/time.js';
import type { Address } from '../core/settings/settings.js';
import { monotonicClock } from './monotonic-clock.js';

/** What happens when an address cannot be bound. */
export type BindPolicy =
  | { readonly kind: 'fail' }
  /** The address is tried again, as the former process or another connection may still hold it. */
  | {
      readonly kind: 'retry';
      readonly forMs: Milliseconds;
      /** Ends the attempts. */
      readonly signal: AbortSignal;
      /** Called at the first failure, and for each connection that cannot be accepted later. */
      readonly onFault: (fault: Fault) => void;
    };

const RETRY_INTERVAL_MS: Milliseconds = 50;

const FAIL: BindPolicy = { kind: 'fail' };

async function bind(server: Server, { host, port }: Address): Promise<number> {
  server.listen(port, host);
  await once(server, 'listening');
  return (server.address() as AddressInfo).port;
}

function describeFailure({ host, port }: Address, error: unknown): Fault {
  const address = `${host}:${port}`;
  const reason = error instanceof Error ? error.message : String(error);
  return {
    code: 'addressInUse',
    details: { address, reason },
    source: 'settings',
    place: address,
  };
}

async function bindWithPolicy(
  server: Server,
  address: Address,
  policy: BindPolicy,
): Promise<number> {
  if (policy.kind === 'fail') return bind(server, address);
  const { forMs, signal, onFault } = policy;
  const giveUpAt = monotonicClock.now() + forMs;
  for (let attempt = 1; ; attempt += 1) {
    try {
      // eslint-disable-next-line no-await-in-loop
      const port = await bind(server, address);
      // Without a listener, an error such as ENFILE at an accept would end the process.
      server.on('error', (error) => onFault(describeFailure(address, error)));
      return port;
    } catch (error) {
      if (attempt === 1) onFault(describeFailure(address, error));
      if (monotonicClock.now() >= giveUpAt) throw error;
      // eslint-disable-next-line no-await-in-loop
      await sleep(RETRY_INTERVAL_MS, undefined, { signal });
    }
  }
}

/**
 * Binds a server to an address and listens.
 *
 * @param server - the server
 * @param address - the address; port 0 lets the system choose a free port
 * @param policy - what happens when the address cannot be bound; it fails at once by default
 * @returns the port in use, or a fault that names the address
 */
export function listen(
  server: Server,
  address: Address,
  policy: BindPolicy = FAIL,
): ResultAsync<number, Fault> {
  return ResultAsync.fromPromise(bindWithPolicy(server, address, policy), (error) =>
    describeFailure(address, error),
  );
}
