import { IMPORTANCES, type Access, type ZoneState } from '../model/configuration.js';
import {
  choiceField,
  booleanField,
  secretField,
  integerField,
  listField,
  numberField,
  textField,
  withDefault,
} from '../toml/field.js';
import { isPlainSegment, pathSegments } from './route-path.js';

/** Names appear in HTTP headers, metric labels and keys of the configuration service. */
const NAME_PATTERN = /^[a-z0-9][a-z0-9-]{0,62}$/;
const KEY_HASH_PATTERN = /^[0-9a-f]{64}$/;
/** Segments have the characters that RFC 3986 allows, except `*`, which is the wildcard. */
const ROUTE_PATH_PATTERN = /^\/$|^(\/(\*|[\w.~!$&'()+,;=:@%-]+))+$/;
const MAX_COUNT = 1_000_000;
/** Longer calls would outlast the waiting periods of the nodes; no route needs ten minutes. */
const MAX_DEADLINE_MS = 600_000;
/** More retries only multiply the load; two are enough to avoid a failed host. */
const MAX_RETRIES = 10;

/** HTTP methods that a route may have. */
export const METHODS = ['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE'] as const;

const ZONE_STATES: readonly ZoneState[] = ['in', 'out'];
const ACCESSES: readonly Access[] = ['keyed', 'open'];

/** Name of a zone, service, backend server, account or route. */
export const nameField = textField(
  'a name of at most 63 lower-case letters, digits and hyphens',
  (text) => NAME_PATTERN.test(text),
);

/** Revision of the set, which is also the version of the published document. */
export const revisionField = integerField(1, Number.MAX_SAFE_INTEGER, 'the revision');

/** Names of the backend servers whose nodes hold credit for rate and burst. */
export const seatsField = listField(nameField, 1);

export const zoneFields = {
  region: nameField,
  state: withDefault(choiceField(ZONE_STATES), 'in'),
};

export const serviceFields = {};

export const backendServerFields = {
  service: nameField,
  zone: nameField,
  slots: integerField(1, MAX_COUNT, 'calls'),
  connections: integerField(1, MAX_COUNT, 'connections'),
  cold_capacity: integerField(1, MAX_COUNT, 'calls'),
};

export const accountFields = {
  // An operator may paste a key in place of its hash, so faults never repeat the value.
  key_hashes: secretField(
    listField(
      textField('64 hexadecimal digits as printed by `almondhoist hash-key`', (text) =>
        KEY_HASH_PATTERN.test(text),
      ),
    ),
  ),
  rate_per_second: numberField(0.001, MAX_COUNT, 'root requests per second'),
  burst: integerField(1, MAX_COUNT, 'root requests'),
  weight: withDefault(numberField(0.01, 1000, 'shares'), 1),
  services: listField(nameField),
};

export const routeFields = {
  service: nameField,
  method: choiceField(METHODS),
  path: textField(
    'a path such as /stock/*, without a query, empty segments, dot segments or a trailing slash',
    (text) =>
      ROUTE_PATH_PATTERN.test(text) && (text === '/' || pathSegments(text).every(isPlainSegment)),
  ),
  importance: withDefault(choiceField(IMPORTANCES), 'normal'),
  // The default applies to GET and HEAD only; other methods require the field.
  idempotent: withDefault(booleanField(), true),
  access: withDefault(choiceField(ACCESSES), 'keyed'),
  deadline_ms: integerField(1, MAX_DEADLINE_MS, 'milliseconds'),
  retries: withDefault(integerField(0, MAX_RETRIES, 'retries'), 2),
};
