import type { Account, BackendServer, Configuration, Route, Zone } from '../model/configuration.js';

interface Named {
  readonly name: string;
}

interface Descriptions<T> {
  readonly added: (item: T) => readonly string[];
  readonly removed: (item: T) => readonly string[];
  readonly changed: (before: T, after: T) => readonly string[];
}

function describeByName<T extends Named>(
  older: readonly T[],
  newer: readonly T[],
  describe: Descriptions<T>,
): readonly string[] {
  const before = new Map(older.map((item) => [item.name, item]));
  const after = new Map(newer.map((item) => [item.name, item]));
  return [
    ...older.filter(({ name }) => !after.has(name)).flatMap(describe.removed),
    ...newer.flatMap((item) => {
      const earlier = before.get(item.name);
      return earlier === undefined ? describe.added(item) : describe.changed(earlier, item);
    }),
  ];
}

function linesIf(condition: boolean, text: string): readonly string[] {
  return condition ? [text] : [];
}

/** Returns the items of one list that are not in another. */
function difference(items: readonly string[], others: readonly string[]): readonly string[] {
  const excluded = new Set(others);
  return items.filter((item) => !excluded.has(item));
}

function describeValueChange(subject: string, before: number | string, after: number | string) {
  return linesIf(before !== after, `${subject} changes from ${before} to ${after}`);
}

function formatKeyCount(hashes: readonly string[]): string {
  return hashes.length === 1 ? '1 key' : `${hashes.length} keys`;
}

function abbreviateHash(hash: string): string {
  return `${hash.slice(0, 12)}...`;
}

const zoneChanges: Descriptions<Zone> = {
  added: ({ name, region, state }) => [
    `availability zone ${name} of region ${region} is added with state ${state}`,
  ],
  removed: ({ name }) => [`availability zone ${name} is removed`],
  changed: (before, after) => [
    ...describeValueChange(
      `region of availability zone ${after.name}`,
      before.region,
      after.region,
    ),
    ...linesIf(
      before.state === 'in' && after.state === 'out',
      `availability zone ${after.name} changes to state out: its backend servers receive no new requests`,
    ),
    ...linesIf(
      before.state === 'out' && after.state === 'in',
      `availability zone ${after.name} changes to state in: its backend servers receive requests again`,
    ),
  ],
};

const serviceChanges: Descriptions<Named> = {
  added: ({ name }) => [`service ${name} is added`],
  removed: ({ name }) => [`service ${name} is removed`],
  changed: () => [],
};

const backendServerChanges: Descriptions<BackendServer> = {
  added: ({ name, service, zone, slots }) => [
    `backend server ${name} of service ${service} is added in availability zone ${zone} with ${slots} slots`,
  ],
  removed: ({ name, service }) => [`backend server ${name} of service ${service} is removed`],
  changed: (before, after) => [
    ...describeValueChange(
      `service of backend server ${after.name}`,
      before.service,
      after.service,
    ),
    ...describeValueChange(
      `availability zone of backend server ${after.name}`,
      before.zone,
      after.zone,
    ),
    ...describeValueChange(`slots of backend server ${after.name}`, before.slots, after.slots),
    ...describeValueChange(
      `connections of backend server ${after.name}`,
      before.connections,
      after.connections,
    ),
    ...describeValueChange(
      `cold capacity of backend server ${after.name}`,
      before.coldCapacity,
      after.coldCapacity,
    ),
  ],
};

const accountChanges: Descriptions<Account> = {
  added: ({ name, keyHashes, ratePerSecond, burst, services }) => [
    `account ${name} is added with ${formatKeyCount(keyHashes)}, ${ratePerSecond} requests per second, a burst of ${burst} and access to: ${services.join(', ') || 'no service'}`,
  ],
  removed: ({ name, keyHashes }) => [
    `account ${name} is removed and ${formatKeyCount(keyHashes)} withdrawn`,
  ],
  changed: (before, after) => [
    ...difference(before.keyHashes, after.keyHashes).map(
      (hash) => `a key of account ${after.name} is withdrawn (hash ${abbreviateHash(hash)})`,
    ),
    ...difference(after.keyHashes, before.keyHashes).map(
      (hash) => `a key is added to account ${after.name} (hash ${abbreviateHash(hash)})`,
    ),
    ...linesIf(
      before.keyHashes.length > 0 && after.keyHashes.length === 0,
      `warning: account ${after.name} has no key left: all its requests are refused`,
    ),
    ...describeValueChange(
      `rate of account ${after.name} in requests per second`,
      before.ratePerSecond,
      after.ratePerSecond,
    ),
    ...describeValueChange(`burst of account ${after.name}`, before.burst, after.burst),
    ...describeValueChange(`weight of account ${after.name}`, before.weight, after.weight),
    ...difference(before.services, after.services).map(
      (service) => `account ${after.name} may no longer call service ${service}`,
    ),
    ...difference(after.services, before.services).map(
      (service) => `account ${after.name} may call service ${service}`,
    ),
  ],
};

function describeIdempotenceChange(before: Route, after: Route): readonly string[] {
  return [
    ...linesIf(
      before.idempotent && !after.idempotent,
      `route ${after.name} becomes non-idempotent: its requests need an order identifier and run at most once`,
    ),
    ...linesIf(
      !before.idempotent && after.idempotent,
      `warning: route ${after.name} becomes idempotent: its requests may run more than once`,
    ),
  ];
}

function describeAccessChange(before: Route, after: Route): readonly string[] {
  return [
    ...linesIf(
      before.access === 'keyed' && after.access === 'open',
      `warning: route ${after.name} becomes open: its requests need no key`,
    ),
    ...linesIf(
      before.access === 'open' && after.access === 'keyed',
      `route ${after.name} becomes keyed: its requests need a key`,
    ),
  ];
}

const routeChanges: Descriptions<Route> = {
  added: ({ name, service, method, path, importance, idempotent, access }) => [
    `route ${name} is added: ${method} ${path} of service ${service}, importance ${importance}, ${idempotent ? 'idempotent' : 'non-idempotent'}, ${access}`,
  ],
  removed: ({ name, service, method, path }) => [
    `route ${name} is removed: ${method} ${path} of service ${service}`,
  ],
  changed: (before, after) => [
    ...describeValueChange(`service of route ${after.name}`, before.service, after.service),
    ...describeValueChange(`method of route ${after.name}`, before.method, after.method),
    ...describeValueChange(`path of route ${after.name}`, before.path, after.path),
    ...describeValueChange(
      `importance of route ${after.name}`,
      before.importance,
      after.importance,
    ),
    ...describeIdempotenceChange(before, after),
    ...describeAccessChange(before, after),
    ...describeValueChange(
      `deadline of route ${after.name} in ms`,
      before.deadlineMs,
      after.deadlineMs,
    ),
    ...describeValueChange(`retries of route ${after.name}`, before.retries, after.retries),
  ],
};

function describeRevisionChange(older: Configuration, newer: Configuration): readonly string[] {
  return newer.revision > older.revision
    ? [`revision changes from ${older.revision} to ${newer.revision}`]
    : [
        `warning: revision ${newer.revision} is not higher than ${older.revision}: nodes ignore the newer set`,
      ];
}

// While two hosts hold credit for the same seat, requests are admitted above rate and burst.
const SEAT_WARNING =
  'warning: move a seat only after its previous host has stopped; otherwise accounts may exceed their rate';

function describeSeatChanges(older: Configuration, newer: Configuration): readonly string[] {
  const removedSeats = difference(older.seats, newer.seats);
  const addedSeats = difference(newer.seats, older.seats);
  const hasSameSeats = removedSeats.length === 0 && addedSeats.length === 0;
  const isReordered =
    hasSameSeats && older.seats.some((seat, index) => seat !== newer.seats[index]);
  return [
    ...removedSeats.map((seat) => `${seat} no longer has a seat`),
    ...addedSeats.map((seat) => `${seat} gets a seat`),
    ...linesIf(isReordered, 'the order of the seats changes'),
    ...linesIf(!hasSameSeats, SEAT_WARNING),
  ];
}

/** Finds the services that have backend servers, but none in an availability zone with state in. */
function findUnreachableServices({ zones, backendServers }: Configuration): readonly string[] {
  const namesOfZonesIn = new Set(
    zones.filter(({ state }) => state === 'in').map(({ name }) => name),
  );
  const reachable = backendServers.filter(({ zone }) => namesOfZonesIn.has(zone));
  return difference(
    [...new Set(backendServers.map(({ service }) => service))],
    reachable.map(({ service }) => service),
  );
}

/**
 * Describes the changes from one configuration to another and their effects.
 *
 * @param older - the configuration in force
 * @param newer - the configuration that would replace it
 * @returns one line per change; warnings begin with `warning:`
 */
export function describeChanges(older: Configuration, newer: Configuration): readonly string[] {
  return [
    ...describeRevisionChange(older, newer),
    ...describeSeatChanges(older, newer),
    ...describeByName(older.zones, newer.zones, zoneChanges),
    ...describeByName(older.services, newer.services, serviceChanges),
    ...describeByName(older.backendServers, newer.backendServers, backendServerChanges),
    ...describeByName(older.accounts, newer.accounts, accountChanges),
    ...describeByName(older.routes, newer.routes, routeChanges),
    ...difference(findUnreachableServices(newer), findUnreachableServices(older)).map(
      (service) =>
        `warning: service ${service} has no backend server left in an availability zone with state in`,
    ),
  ];
}
