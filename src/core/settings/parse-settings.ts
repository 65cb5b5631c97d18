import { err, ok, Result } from 'neverthrow';
import { Maybe } from 'purify-ts';
import type { Fault } from '../errors/fault.js';
import { nameField } from '../configuration/entry-fields.js';
import {
  secretField,
  integerField,
  listField,
  textField,
  withDefault,
  type Field,
} from '../toml/field.js';
import { faultAt, readTable, type Fields, type Values } from '../toml/read-table.js';
import { parseToml } from '../toml/parse-toml.js';
import { parseAddress, urlAddress } from './address.js';
import type { Address, Settings } from './settings.js';

/** The secret keys an HMAC with SHA-256, whose strength ends at 32 bytes. */
const MIN_SECRET_CHARACTERS = 32;
const MIN_BODY_BYTES = 1024;
const DEFAULT_BODY_BYTES = 1_048_576;
const MAX_BODY_BYTES = 67_108_864;
const DEFAULT_STOP_DEADLINE_MS = 30_000;
const DEFAULT_ISOLATION_LIMIT_MS = 5000;
const MIN_WAIT_MS = 1000;
const HOUR_MS = 3_600_000;
const WEEK_MS = 604_800_000;

const addressText = textField(
  'IP:port such as 10.0.0.7:8080 or [::1]:8080',
  (text) => parseAddress(text) !== null,
);

const addressField: Field<Address> = {
  expected: addressText.expected,
  decode: (input) =>
    addressText
      .decode(input)
      .chain((text) => Maybe.fromNullable(parseAddress(text)).toEither(addressText.expected)),
};

const urlField = textField(
  'an http or https URL with an IP address and without a path, such as http://10.0.0.7:7000',
  (text) => urlAddress(text) !== null,
);

const fileField = textField('the path of a PEM file', (text) => text !== '');

/** Sections of the settings file without the optional `tls`, with their fields. */
export const settingsSections = {
  node: { backend_server: nameField, zone: nameField },
  listen: {
    caller: addressField,
    peer: addressField,
    metrics: withDefault(addressField, null),
  },
  backend_server: { url: urlField },
  configuration_service: { urls: listField(urlField, 1) },
  fleet: {
    peer_secret: secretField(
      textField(
        `a text of at least ${MIN_SECRET_CHARACTERS} characters`,
        (text) => text.length >= MIN_SECRET_CHARACTERS,
      ),
    ),
    seeds: withDefault(listField(addressText), []),
  },
  limits: {
    max_body_bytes: withDefault(
      integerField(MIN_BODY_BYTES, MAX_BODY_BYTES, 'bytes'),
      DEFAULT_BODY_BYTES,
    ),
    stop_deadline_ms: withDefault(
      integerField(MIN_WAIT_MS, HOUR_MS, 'milliseconds'),
      DEFAULT_STOP_DEADLINE_MS,
    ),
    isolation_limit_ms: withDefault(
      integerField(MIN_WAIT_MS, HOUR_MS, 'milliseconds'),
      DEFAULT_ISOLATION_LIMIT_MS,
    ),
    stale_limit_ms: withDefault(integerField(0, WEEK_MS, 'milliseconds'), 0),
  },
};

/** Fields of the optional section `tls`. */
export const tlsFields = {
  certificate_file: fileField,
  key_file: fileField,
  authority_file: fileField,
};

type SectionValues = {
  readonly [K in keyof typeof settingsSections]: Values<(typeof settingsSections)[K]>;
};
type Root = Readonly<Record<string, unknown>>;

function readSection<F extends Fields>(
  root: Root,
  source: string,
  name: string,
  fields: F,
): Result<Values<F>, readonly Fault[]> {
  // A section that is left out counts as empty, so that its missing fields are named.
  return readTable(fields, root[name] ?? {}, { source, path: name });
}

function unknownSections(root: Root, source: string): readonly Fault[] {
  const known = [...Object.keys(settingsSections), 'tls'];
  return Object.keys(root)
    .filter((name) => !known.includes(name))
    .map((name) => faultAt('fieldUnknown', { source, path: name }, { expected: known.join(', ') }));
}

function sameAddress(left: Address | null, right: Address | null): boolean {
  return (
    left !== null &&
    right !== null &&
    left.port !== 0 &&
    left.port === right.port &&
    left.host === right.host
  );
}

function conflicts(values: SectionValues, source: string): readonly Fault[] {
  const { caller, peer, metrics } = values.listen;
  const fault = (path: string, reason: string) =>
    faultAt('setInconsistent', { source, path }, { reason });
  const isTaken = sameAddress(metrics, caller) || sameAddress(metrics, peer);
  // Calls to such a backend server would come back to the node without end.
  const isLoop = sameAddress(urlAddress(values.backend_server.url), caller);
  return [
    ...(sameAddress(caller, peer)
      ? [fault('listen.peer', 'the address equals listen.caller; expected another one')]
      : []),
    ...(isTaken
      ? [fault('listen.metrics', 'the address equals another listener; expected another one')]
      : []),
    ...(isLoop
      ? [fault('backend_server.url', 'the node itself listens there; expected the backend server')]
      : []),
  ];
}

function toSettings(values: SectionValues, tls: Settings['tls']): Settings {
  const { node, listen, fleet, limits } = values;
  return {
    backendServer: node.backend_server,
    zone: node.zone,
    callerAddress: listen.caller,
    peerAddress: listen.peer,
    metricsAddress: listen.metrics,
    // Without the final slash, so that a path can follow.
    backendServerUrl: new URL(values.backend_server.url).origin,
    configurationServiceUrls: values.configuration_service.urls.map((text) => new URL(text).origin),
    peerSecret: fleet.peer_secret,
    seeds: fleet.seeds,
    maxBodyBytes: limits.max_body_bytes,
    stopDeadlineMs: limits.stop_deadline_ms,
    isolationLimitMs: limits.isolation_limit_ms,
    staleLimitMs: limits.stale_limit_ms,
    tls,
  };
}

function readTls(root: Root, source: string): Result<Settings['tls'], readonly Fault[]> {
  if (root['tls'] === undefined) {
    return ok(null);
  }
  return readSection(root, source, 'tls', tlsFields).map((fields) => ({
    certificateFile: fields.certificate_file,
    keyFile: fields.key_file,
    authorityFile: fields.authority_file,
  }));
}

function readSections(root: Root, source: string): Result<SectionValues, readonly Fault[]> {
  return Result.combineWithAllErrors([
    readSection(root, source, 'node', settingsSections.node),
    readSection(root, source, 'listen', settingsSections.listen),
    readSection(root, source, 'backend_server', settingsSections.backend_server),
    readSection(root, source, 'configuration_service', settingsSections.configuration_service),
    readSection(root, source, 'fleet', settingsSections.fleet),
    readSection(root, source, 'limits', settingsSections.limits),
  ])
    .map(([node, listen, backendServer, configurationService, fleet, limits]) => ({
      node,
      listen,
      backend_server: backendServer,
      configuration_service: configurationService,
      fleet,
      limits,
    }))
    .mapErr((faults) => faults.flat());
}

/**
 * Reads and checks the settings of a node.
 *
 * @param text - TOML text
 * @param source - file name for faults
 * @returns the settings, or all faults at once
 */
export function parseSettings(text: string, source: string): Result<Settings, readonly Fault[]> {
  return parseToml(text, source).andThen((root) => {
    const values = readSections(root, source);
    const tls = readTls(root, source);
    const faults = [
      ...unknownSections(root, source),
      ...values.match(
        (read) => conflicts(read, source),
        (found) => found,
      ),
      ...tls.match(
        () => [],
        (found) => found,
      ),
    ];
    return values.isOk() && tls.isOk() && faults.length === 0
      ? ok<Settings, readonly Fault[]>(toSettings(values.value, tls.value))
      : err(faults);
  });
}
